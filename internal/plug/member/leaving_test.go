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
		name    string
		trigger func(fixture *fixture)
		// lasts reports whether the instance still counts as leaving after 20 s.
		lasts bool
		// announced reports whether this proxy announces the instance to the others.
		announced bool
	}{
		{
			name:      "the host list",
			trigger:   func(fixture *fixture) { fixture.hosts = []model.Host{model.NewHost(instance, true)} },
			lasts:     true,
			announced: true,
		},
		{
			name: "a status report while the host list contradicts it and the store is down",
			trigger: func(fixture *fixture) {
				fixture.hosts = []model.Host{model.NewHost(instance, false)}
				fixture.shelf.SetDown(true)
				fixture.status[instance] = statusWithLeaving(true)
			},
			lasts:     true,
			announced: true,
		},
		{
			name: "a refused probe while the platform is silent",
			trigger: func(fixture *fixture) {
				fixture.platformSilent = true
				fixture.handle(event.NewProbeFailed(1, instance, model.ConnFailureLeaving))
			},
			announced: true,
		},
		{
			name: "a refused connection that another plug-in observed",
			trigger: func(fixture *fixture) {
				fixture.platformSilent = true
				fixture.handle(event.NewLeavingChanged(instance, true))
			},
			announced: true,
		},
		{
			name: "a heartbeat of another proxy while the platform is silent",
			trigger: func(fixture *fixture) {
				fixture.platformSilent = true
				fixture.receiveHeartbeat("proxy-2", false, instance)
			},
		},
		{
			name: "a drain by an operator",
			trigger: func(fixture *fixture) {
				fixture.handle(event.NewCommandReceived(1, event.NewDrainInstance(instance, true)))
			},
			lasts:     true,
			announced: true,
		},
		{
			name: "a drain by an operator through another proxy",
			trigger: func(fixture *fixture) {
				row := model.NewRowWrite("drains", string(instance), 0, []byte("{}"))
				fixture.shelf.Write(event.NewWriteStore(0, []model.RowWrite{row}))
			},
			lasts:     true,
			announced: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture().start()
			fixture.receiveHeartbeat("proxy-2", false)
			is.True(!fixture.isLeaving(instance))
			test.trigger(fixture)
			fixture.run(2500 * time.Millisecond)
			is.True(fixture.isLeaving(instance)) // within 2.5 s
			is.True(!fixture.isLeaving("katalog-1-b"))
			is.Equal(len(fixture.heartbeats()["proxy-2:8000"].Leaving()) == 1, test.announced)
			fixture.run(20 * time.Second)
			is.Equal(fixture.isLeaving(instance), test.lasts)
		})
	}
}

func TestDrainCommands(t *testing.T) {
	tests := []struct {
		name        string
		setUp       func(fixture *fixture)
		command     event.Command
		code        codes.Code
		wantLeaving bool
	}{
		{name: "drain", command: event.NewDrainInstance(instance, true), wantLeaving: true},
		{
			name:        "the answer is lost",
			setUp:       func(fixture *fixture) { fixture.shelf.LoseAnswers(1) },
			command:     event.NewDrainInstance(instance, true),
			wantLeaving: true,
		},
		{
			name: "the drain ends",
			setUp: func(fixture *fixture) {
				fixture.handle(event.NewCommandReceived(2, event.NewDrainInstance(instance, true)))
				fixture.run(time.Second)
			},
			command: event.NewDrainInstance(instance, false),
		},
		{
			name:    "the store is down",
			setUp:   func(fixture *fixture) { fixture.shelf.SetDown(true) },
			command: event.NewDrainInstance(instance, true),
			code:    codes.StoreUnavailable,
		},
		{
			name:    "the writes get no answer",
			setUp:   func(fixture *fixture) { fixture.shelf.DropWrites(9) },
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
			fixture := newFixture().start()
			if test.setUp != nil {
				test.setUp(fixture)
			}
			fixture.handle(event.NewCommandReceived(1, test.command))
			fixture.run(time.Second)
			switch result := fixture.results[1].(type) {
			case event.PlacementChanged:
				is.Equal(test.code, codes.OK)
				is.Equal(result.Instance(), instance)
			case event.CommandFailed:
				is.Equal(result.Code(), test.code)
			default:
				is.Fail() // no answer
			}
			is.Equal(fixture.isLeaving(instance), test.wantLeaving)
		})
	}
}
