package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const maxKeyAge = 4 * time.Second

// keyConns queues all requests for a connection and records what is sent.
type keyConns struct {
	route.Conns
	user     route.ConnUser
	canceled int
	released int
	sent     []*model.Work
}

// Unreachable implements route.Conns.
func (conns *keyConns) Unreachable(model.InstanceID) bool { return false }

// Acquire implements route.Conns. Pings, which have no job, wait for good.
func (conns *keyConns) Acquire(request route.SlotRequest, user route.ConnUser) route.WaitID {
	if request.Job != nil {
		conns.user = user
	}
	return 1
}

// CancelWait implements route.Conns.
func (conns *keyConns) CancelWait(route.WaitID) { conns.canceled++ }

// Release implements route.Conns.
func (conns *keyConns) Release(model.ConnID, bool) { conns.released++ }

// Execute implements route.Conns.
func (conns *keyConns) Execute(_ model.ConnID, work *model.Work) {
	conns.sent = append(conns.sent, work)
}

type keySessions struct {
	route.Sessions
	results []route.ResultSpec
}

// RegisterRunner implements route.Sessions.
func (*keySessions) RegisterRunner(model.Access, route.Runner) {}

// Finish implements route.Sessions.
func (sessions *keySessions) Finish(_ *route.Job, result route.ResultSpec) {
	sessions.results = append(sessions.results, result)
}

// A statement is sent only if its key still belongs to its team when it gets a connection. One
// that waits is refused as soon as its key is withdrawn. One that was sent goes on.
func TestKeyAtTheSending(t *testing.T) {
	const arrival = time.Second
	key := model.DigestKey("k1")
	tests := []struct {
		name     string
		holder   model.TeamName // who holds the key when the configuration changes
		sentAt   time.Duration  // when a connection is granted, or 0 if none is before the change
		grantAt  time.Duration  // when a connection is granted after the change, or 0
		wantSent int
		wantCode codes.Code
	}{
		{name: "held", holder: "a", grantAt: 2 * time.Second, wantSent: 1},
		{name: "withdrawn while it waits", holder: "", wantCode: codes.UnknownKey},
		{name: "given to another team while it waits", holder: "b", wantCode: codes.UnknownKey},
		{name: "withdrawn after it was sent", holder: "", sentAt: arrival, wantSent: 1},
		{name: "configuration too old", holder: "a", grantAt: maxKeyAge + time.Second, wantCode: codes.RevisionUnconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conns, sessions := &keyConns{}, &keySessions{}
			spec := tune.Default()
			spec.MaxKeyAge = maxKeyAge
			kernel, relay := newTestRelay(spec, conns, sessions)
			kernel.State().SetGroups([]model.Group{model.NewGroup("g", []model.Instance{model.NewInstance("i", "", "")})})
			team := model.NewTeam(model.TeamSpec{Name: "a", Keys: []model.KeyDigest{key}})
			hold := func(holder model.TeamName) {
				teams, err := model.NewTeams([]*model.Team{model.NewTeam(model.TeamSpec{Name: holder, Keys: []model.KeyDigest{key}})})
				if holder == "" {
					teams, err = model.NewTeams(nil)
				}
				is.NoErr(err)
				kernel.State().SetTeams(teams)
			}
			hold("a")
			job := route.NewJob(route.JobSpec{
				Request:    model.NewRequest(model.RequestSpec{Seq: 1, Writes: true}),
				Deployment: model.NewDeployment(model.DeploymentSpec{Name: "d"}),
				Kind:       model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither}),
				Group:      "g", Arrived: arrival, Deadline: time.Minute, Team: team, Key: key,
			})
			at := func(now time.Duration, call func()) {
				relay.context.Timers().After(now-relay.context.Now(), call)
				kernel.Tick(now)
			}
			at(arrival, func() { relay.Start(job) })
			if test.sentAt > 0 {
				at(test.sentAt, func() { conns.user.ConnGranted(1) })
			}
			hold(test.holder)
			kernel.Handle(arrival+time.Millisecond, event.NewCatalogChanged(2))
			if test.grantAt > 0 {
				at(test.grantAt, func() { conns.user.ConnGranted(1) })
				is.Equal(conns.released, 1-test.wantSent)
			}
			is.Equal(len(conns.sent), test.wantSent)
			if test.wantSent > 0 {
				is.Equal(conns.sent[0].SendBefore(), maxKeyAge)
				is.Equal(len(sessions.results), 0)
				return
			}
			is.Equal(len(sessions.results), 1)
			is.Equal(sessions.results[0].Code, test.wantCode)
			is.Equal(sessions.results[0].Outcome, model.OutcomeNotRun)
		})
	}
}
