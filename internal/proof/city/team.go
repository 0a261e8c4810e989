package city

import (
	"fmt"
	"math"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// teamName returns the name of the team with the given number. It is empty for 0.
func teamName(team int) model.TeamName {
	if team == 0 {
		return ""
	}
	return model.TeamName(fmt.Sprintf("team-%02d", team))
}

// teamKey returns the digest of the key of a team.
func teamKey(team int) model.KeyDigest { return model.DigestKey(string(teamName(team))) }

// newTeams returns teams without limits, or nil for none.
func newTeams(count int) *model.Teams {
	if count == 0 {
		return nil
	}
	var list []*model.Team
	for team := 1; team <= count; team++ {
		list = append(list, model.NewTeam(model.TeamSpec{Name: teamName(team), Keys: []model.KeyDigest{teamKey(team)}, Rate: -1}))
	}
	teams, err := model.NewTeams(list)
	if err != nil {
		panic(err) // the names differ
	}
	return teams
}

// drawTeam returns the team of a new operation.
func (load *load) drawTeam() int {
	if load.teamShares == nil {
		sum := 0.0
		for team := 1; team <= load.spec.Teams; team++ {
			sum += math.Pow(float64(team), -load.spec.TeamSkew)
			load.teamShares = append(load.teamShares, sum)
		}
	}
	last := len(load.teamShares) - 1
	draw := load.random.Float64() * load.teamShares[last]
	for index, share := range load.teamShares {
		if draw < share {
			return index + 1
		}
	}
	return last + 1
}

// flood sends the additional operations of a team.
func (load *load) flood() {
	began := load.until - load.spec.Span
	if load.simulation.now >= began+load.spec.FloodUntil {
		return
	}
	added := load.newOperation(load.random.IntN(len(load.spec.ProxiesByZone)))
	if added.counts() {
		added.result.Asked--
	}
	added.uncounted, added.team = true, load.spec.FloodTeam
	added.attempt()
	load.simulation.runAfter(time.Duration(load.random.ExpFloat64()/load.spec.FloodRate*float64(time.Second)), load.flood)
}

// freezeProxies suspends all proxies for a time.
func (load *load) freezeProxies() {
	for _, proxy := range load.simulation.proxies {
		proxy.freeze(load.spec.FreezeSpan)
	}
}
