package sessn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const maxKeyAge = 4 * time.Second

var key = model.DigestKey("k1")

// keyFixture is a kernel with the session plug-in, a deployment that needs a key and a public
// one. The configuration is as old as the kernel.
type keyFixture struct {
	fixture
	closed []model.CallerID
}

func newKeyFixture() *keyFixture {
	fixture := &keyFixture{}
	spec := tune.Default()
	spec.MaxKeyAge = maxKeyAge
	fixture.kernel = kern.NewWithFactories(model.ProxyView{}, tune.New(spec), time.Time{}, 1, func(context *kern.Context) kern.Plugin {
		fixture.sessions = New(context).(*Sessions)
		return fixture.sessions
	})
	fixture.reader = &runner{sessions: fixture.sessions}
	fixture.sessions.RegisterRunner(model.AccessEither, fixture.reader)
	var deployments []*model.Deployment
	for _, public := range []bool{false, true} {
		name := "katalog-db"
		if public {
			name = "notices"
		}
		deployments = append(deployments, model.NewDeployment(model.DeploymentSpec{
			Name:        name,
			Groups:      []model.GroupID{"katalog-1"},
			Kinds:       []model.Kind{model.NewKind(model.KindSpec{Name: "k", Access: model.AccessEither, Timeout: time.Second})},
			Classes:     []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{})},
			DefaultKind: "k",
			Public:      public,
		}))
	}
	fixture.state().SetDeployments(1, deployments)
	fixture.state().SetConfirmed(true)
	fixture.hold("faculty")
	return fixture
}

// hold gives the key to a team, or to none.
func (fixture *keyFixture) hold(team model.TeamName) {
	var list []*model.Team
	if team != "" {
		list = append(list, model.NewTeam(model.TeamSpec{Name: team, Keys: []model.KeyDigest{key}}))
	}
	teams, err := model.NewTeams(list)
	if err != nil {
		panic(err)
	}
	fixture.state().SetTeams(teams)
	fixture.do(event.NewCatalogChanged(2))
}

func (fixture *keyFixture) do(received event.Event) {
	actions := fixture.kernel.Handle(fixture.now, received)
	fixture.recordAnswers(actions)
	for _, action := range actions {
		if closing, ok := action.(event.CloseCaller); ok {
			fixture.closed = append(fixture.closed, closing.Caller())
		}
	}
}

func (fixture *keyFixture) open(deployment string, key model.KeyDigest) {
	fixture.do(event.NewCallerOpened(registrar, deployment, "").WithKey(key))
}

// send sends a request and returns the code of its answer. It returns false if it is not
// answered yet.
func (fixture *keyFixture) send(op model.Op) (codes.Code, bool) {
	fixture.lastSeq++
	before := len(fixture.replies)
	fixture.do(event.NewRequestReceived(model.NewRequest(model.RequestSpec{Seq: fixture.lastSeq, Caller: registrar, Op: op})))
	if len(fixture.replies) == before {
		return 0, false
	}
	return fixture.replies[before].Code(), true
}

func TestCallerWithKey(t *testing.T) {
	tests := []struct {
		name       string
		deployment string
		key        model.KeyDigest
		age        time.Duration // of the configuration
		refused    []codes.Code
	}{
		{name: "held", deployment: "katalog-db", key: key},
		{name: "unknown", deployment: "katalog-db", key: model.DigestKey("k2"), refused: []codes.Code{codes.UnknownKey}},
		{name: "none", deployment: "katalog-db", key: model.DigestKey(""), refused: []codes.Code{codes.UnknownKey}},
		{name: "unknown for a public deployment", deployment: "notices", key: model.DigestKey("k2")},
		{name: "unknown deployment", deployment: "nothing", key: key, refused: []codes.Code{codes.UnknownDeployment}},
		{name: "unknown deployment and key", deployment: "nothing", key: model.DigestKey("k2"), refused: []codes.Code{codes.UnknownKey}},
		{name: "configuration almost too old", deployment: "katalog-db", key: key, age: maxKeyAge},
		{name: "configuration too old", deployment: "katalog-db", key: key, age: maxKeyAge + time.Second, refused: []codes.Code{codes.RevisionUnconfirmed}},
		{name: "public deployment, configuration too old", deployment: "notices", key: key, age: maxKeyAge + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newKeyFixture()
			fixture.now = test.age
			fixture.open(test.deployment, test.key)
			is.Equal(fixture.refused, test.refused)
		})
	}
}

// A session whose key is withdrawn ends, whatever it does.
func TestWithdrawnKey(t *testing.T) {
	tests := []struct {
		name       string
		steps      func(fixture *keyFixture) // before the key is withdrawn
		rolledBack int
		closed     bool // at once
	}{
		{name: "idle", steps: func(*keyFixture) {}, closed: true},
		{name: "idle in a transaction", steps: func(fixture *keyFixture) {
			fixture.send(model.OpBegin)
			fixture.send(model.OpStatement)
			fixture.finish(fixture.reader, route.ResultSpec{})
		}, rolledBack: 1, closed: true},
		{name: "running statement", steps: func(fixture *keyFixture) { fixture.send(model.OpStatement) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newKeyFixture()
			fixture.open("katalog-db", key)
			test.steps(fixture)
			replies := len(fixture.replies)
			fixture.hold("")
			is.Equal(fixture.reader.rolledBack, test.rolledBack)
			is.Equal(len(fixture.closed) > 0, test.closed)
			if !test.closed {
				fixture.sessions.context.Timers().After(0, func() {
					fixture.sessions.Finish(fixture.reader.jobs[0], route.ResultSpec{})
				})
				actions := fixture.kernel.Tick(fixture.now)
				fixture.recordAnswers(actions)
				is.Equal(fixture.replies[replies].Code(), codes.OK) // the answer is delivered
				is.Equal(actions[len(actions)-1], event.Action(event.NewCloseCaller(registrar, codes.UnknownKey)))
			}
			code, _ := fixture.send(model.OpStatement)
			is.Equal(code, codes.UnknownKey)
		})
	}
}

// A transaction runs under the name of the team that opened it. It cannot go on once the key
// belongs to another team, or once it may have been withdrawn.
func TestKeyOfOpenTransaction(t *testing.T) {
	tests := []struct {
		name   string
		change func(fixture *keyFixture)
		op     model.Op
		want   codes.Code
	}{
		{name: "statement, key of another team", change: func(fixture *keyFixture) { fixture.hold("registrars") }, op: model.OpStatement, want: codes.TransactionLost},
		{name: "commit, key of another team", change: func(fixture *keyFixture) { fixture.hold("registrars") }, op: model.OpCommit, want: codes.TransactionLost},
		{name: "statement, configuration too old", change: func(fixture *keyFixture) { fixture.now = maxKeyAge + time.Second }, op: model.OpStatement, want: codes.RevisionUnconfirmed},
		{name: "commit, configuration too old", change: func(fixture *keyFixture) { fixture.now = maxKeyAge + time.Second }, op: model.OpCommit, want: codes.RevisionUnconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newKeyFixture()
			fixture.open("katalog-db", key)
			fixture.send(model.OpBegin)
			fixture.send(model.OpStatement)
			fixture.finish(fixture.reader, route.ResultSpec{})
			test.change(fixture)
			code, answered := fixture.send(test.op)
			is.True(answered)
			is.Equal(code, test.want)
			if test.op == model.OpStatement {
				fixture.send(model.OpCommit)
			}
			is.Equal(fixture.reader.rolledBack, 1)
			is.Equal(len(fixture.reader.jobs), 1) // nothing else was sent on
		})
	}
}
