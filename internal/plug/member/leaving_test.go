package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const instance = model.InstanceID("katalog-1-a")

func statusWithLeaving(leaving bool) model.Status {
	term := model.NewTerm(1, 0)
	return model.NewStatus(term, model.RolePrimary, model.NewMark(term, 1), "", 0, leaving)
}

func TestLeavingSources(t *testing.T) {
	tests := []struct {
		name string
		tell func(desk *fixture)
		// lasts tells whether the instance still leaves 20 s after it was last told
		lasts bool
		// announced tells whether this proxy tells the others
		announced bool
	}{
		{
			name:      "the host list",
			tell:      func(desk *fixture) { desk.hosts = []model.Host{model.NewHost(instance, true)} },
			lasts:     true,
			announced: true,
		},
		{
			name: "its own report while the host list says otherwise and the store is down",
			tell: func(desk *fixture) {
				desk.hosts = []model.Host{model.NewHost(instance, false)}
				desk.shelf.SetDown(true)
				desk.status[instance] = statusWithLeaving(true)
			},
			lasts:     true,
			announced: true,
		},
		{
			name: "a refused probe while the platform is silent",
			tell: func(desk *fixture) {
				desk.platformSilent = true
				desk.handle(event.NewProbeFailed(1, instance, model.ConnFailureLeaving))
			},
			announced: true,
		},
		{
			name: "a refused connection that another plug-in met",
			tell: func(desk *fixture) {
				desk.platformSilent = true
				desk.handle(event.NewLeavingChanged(instance, true))
			},
			announced: true,
		},
		{
			name: "another proxy's heartbeat while the platform is silent",
			tell: func(desk *fixture) {
				desk.platformSilent = true
				desk.receiveHeartbeat("proxy-2", false, instance)
			},
		},
		{
			name: "an operator",
			tell: func(desk *fixture) {
				desk.handle(event.NewCommandReceived(1, event.NewDrainInstance(instance, true)))
			},
			lasts:     true,
			announced: true,
		},
		{
			name: "an operator through another proxy",
			tell: func(desk *fixture) {
				row := model.NewRowWrite("drains", string(instance), 0, []byte("{}"))
				desk.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
			},
			lasts:     true,
			announced: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			desk := newFixture().start()
			desk.receiveHeartbeat("proxy-2", false)
			is.True(!desk.isLeaving(instance))
			test.tell(desk)
			desk.run(2500 * time.Millisecond)
			is.True(desk.isLeaving(instance)) // within seconds
			is.True(!desk.isLeaving("katalog-1-b"))
			is.Equal(len(desk.heartbeats()["proxy-2:8000"].Leaving()) == 1, test.announced)
			desk.run(20 * time.Second)
			is.Equal(desk.isLeaving(instance), test.lasts)
		})
	}
}

func TestDrainCommands(t *testing.T) {
	tests := []struct {
		name    string
		harm    func(desk *fixture)
		command event.Command
		code    codes.Code
		leaves  bool
	}{
		{name: "drain", command: event.NewDrainInstance(instance, true), leaves: true},
		{
			name:    "the answer is lost",
			harm:    func(desk *fixture) { desk.shelf.LoseAnswers(1) },
			command: event.NewDrainInstance(instance, true),
			leaves:  true,
		},
		{
			name: "the drain ends",
			harm: func(desk *fixture) {
				desk.handle(event.NewCommandReceived(2, event.NewDrainInstance(instance, true)))
				desk.run(time.Second)
			},
			command: event.NewDrainInstance(instance, false),
		},
		{
			name:    "the store is down",
			harm:    func(desk *fixture) { desk.shelf.SetDown(true) },
			command: event.NewDrainInstance(instance, true),
			code:    codes.StoreUnavailable,
		},
		{
			name:    "the writes get no answer",
			harm:    func(desk *fixture) { desk.shelf.DropWrites(9) },
			command: event.NewDrainInstance(instance, true),
			code:    codes.AcceptanceUnknown,
		},
		{
			name:    "an unknown instance",
			command: event.NewDrainInstance("katalog-9-z", true),
			code:    codes.UnknownGroup,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			desk := newFixture().start()
			if test.harm != nil {
				test.harm(desk)
			}
			desk.handle(event.NewCommandReceived(1, test.command))
			desk.run(time.Second)
			switch result := desk.results[1].(type) {
			case event.PlacementChanged:
				is.Equal(test.code, codes.OK)
				is.Equal(result.Instance(), instance)
			case event.CommandFailed:
				is.Equal(result.Code(), test.code)
			default:
				is.Fail() // no answer
			}
			is.Equal(desk.isLeaving(instance), test.leaves)
		})
	}
}
