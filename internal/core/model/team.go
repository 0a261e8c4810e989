package model

import (
	"crypto/sha256"
	"slices"

	"github.com/pkg/errors"
)

// TeamName is the name of a team.
type TeamName string

// KeyDigest is the digest of a key. Keys themselves are not kept, so that none can get into a
// log line or an error.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// TeamSpec lists the fields of a new Team.
type TeamSpec struct {
	Name TeamName
	Keys []KeyDigest
	// Priority is 0 for the most important teams.
	Priority int
	// Rate and Burst limit the operations of the team over all proxies: Rate a second, and
	// Burst at once. A negative Rate sets no limit.
	Rate  float64
	Burst float64
}

// Team is a group of callers that share keys and limits. It is immutable.
type Team struct {
	spec TeamSpec
}

// NewTeam returns the Team that spec describes.
func NewTeam(spec TeamSpec) *Team { return &Team{spec: spec} }

// Name returns the name. The name of a nil Team, which has no key, is empty.
func (team *Team) Name() TeamName {
	if team == nil {
		return ""
	}
	return team.spec.Name
}

// Priority returns the priority; 0 is the highest.
func (team *Team) Priority() int { return team.spec.Priority }

// Limited reports whether the operations of the team are limited.
func (team *Team) Limited() bool { return team != nil && team.spec.Rate >= 0 }

// Rate returns the operations a second that the team may send through all proxies.
func (team *Team) Rate() float64 { return team.spec.Rate }

// Burst returns the operations that the team may send at once, beyond its rate.
func (team *Team) Burst() float64 { return team.spec.Burst }

// Teams are the teams of a revision of the configuration. It is immutable. A nil Teams means
// that callers need no keys.
type Teams struct {
	list  []*Team
	byKey map[KeyDigest]*Team
}

// NewTeams returns Teams. It returns an error if two teams have the same name or list the same
// key.
func NewTeams(list []*Team) (*Teams, error) {
	teams := &Teams{list: list, byKey: make(map[KeyDigest]*Team)}
	names := make(map[TeamName]bool, len(list))
	for _, team := range list {
		if team.Name() == "" {
			return nil, errors.New("a team has no name")
		}
		if names[team.Name()] {
			return nil, errors.Errorf("team %q is listed twice", team.Name())
		}
		names[team.Name()] = true
		for _, key := range team.spec.Keys {
			if other, ok := teams.byKey[key]; ok && other != team {
				return nil, errors.Errorf("teams %q and %q list the same key", other.Name(), team.Name())
			}
			teams.byKey[key] = team
		}
	}
	return teams, nil
}

// Holder returns the team that holds a key, or nil.
func (teams *Teams) Holder(key KeyDigest) *Team {
	if teams == nil {
		return nil
	}
	return teams.byKey[key]
}

// Find returns the team of a name, or nil.
func (teams *Teams) Find(name TeamName) *Team {
	if teams == nil {
		return nil
	}
	if index := slices.IndexFunc(teams.list, func(team *Team) bool { return team.Name() == name }); index >= 0 {
		return teams.list[index]
	}
	return nil
}

// Limited reports whether any team is limited.
func (teams *Teams) Limited() bool {
	return teams != nil && slices.ContainsFunc(teams.list, (*Team).Limited)
}

// Count returns the number of teams.
func (teams *Teams) Count() int {
	if teams == nil {
		return 0
	}
	return len(teams.list)
}
