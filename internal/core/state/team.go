package state

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// Teams returns the teams of the revision in force, or nil if callers need no keys.
func (state *State) Teams() *model.Teams { return state.teams }

// SetTeams records the teams of the revision in force.
func (state *State) SetTeams(teams *model.Teams) { state.teams = teams }

// KeysValidUntil returns the time until which the teams in force may decide whose a key is. It
// returns false if that is not limited. maxAge is the time after which a withdrawn key must not
// be used any more, or 0.
func (state *State) KeysValidUntil(maxAge time.Duration) (time.Duration, bool) {
	if state.teams == nil || maxAge == 0 {
		return 0, false
	}
	return state.listCheckedAt[model.ListConfiguration] + maxAge, true
}

// Identify returns the team of a caller of a deployment, which is nil if the deployment is
// public and no team holds the key. It returns codes.UnknownKey if the caller may not use the
// deployment, and codes.RevisionUnconfirmed if the key may have been withdrawn since the
// configuration was last known to be current.
func (state *State) Identify(deployment *model.Deployment, key model.KeyDigest, now, maxAge time.Duration) (*model.Team, codes.Code) {
	if state.teams == nil {
		return nil, codes.OK
	}
	public := deployment != nil && deployment.Public()
	team := state.teams.Holder(key)
	if team == nil && !public {
		return nil, codes.UnknownKey
	}
	if until, limited := state.KeysValidUntil(maxAge); limited && now > until {
		if public {
			return nil, codes.OK
		}
		return team, codes.RevisionUnconfirmed
	}
	return team, codes.OK
}
