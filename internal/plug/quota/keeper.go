package quota

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
)

const (
	keeperInterval = 500 * time.Millisecond
	// settleMargin is added to the age that copies of the row may have, before a change counts
	// as known to all lenders.
	settleMargin = 200 * time.Millisecond
	// stableTime is how long the live proxies must not have changed before the first list.
	stableTime = time.Second
	// goneTime is the time after which a lender that does not live is replaced. One that only
	// restarts keeps its teams.
	goneTime = 8 * time.Second
	// maxLenders limits the list, and further lenders are added only if there are fewer than
	// minLenders. Each change takes the tokens of some teams away for seconds.
	maxLenders, minLenders = 64, 8
)

// keeper keeps the list of lenders in the store: the proxy that comes first among the live ones
// writes it.
type keeper struct {
	context *kern.Context
	client  *table.Client
	known   bool // the list was read
	writing bool
	// live are the names of the live proxies, and liveSince is when they last changed.
	live      []model.ProxyID
	liveSince time.Duration
	goneSince map[model.ProxyID]time.Duration
}

func newKeeper(context *kern.Context, client *table.Client) keeper {
	return keeper{context: context, client: client, goneSince: make(map[model.ProxyID]time.Duration)}
}

// keepLenders writes the list of lenders if it has to change and this proxy is the one to do so.
func (quota *Quota) keepLenders() {
	context, keeper := quota.context, &quota.keeper
	state := context.State()
	keeper.observe(state.Proxies(), quota.lenders.row.Lenders)
	if !keeper.known || keeper.writing || state.Draining() || !state.Teams().Limited() || len(keeper.live) == 0 {
		return
	}
	if first := rank.ByCores("list of lenders", state.Proxies())[0]; first.ID() != quota.self() {
		return
	}
	if next, ok := quota.nextRow(); ok {
		next.Number = quota.lenders.row.Number + 1
		keeper.write(next, quota.lenders.version)
	}
}

// observe records which proxies live.
func (keeper *keeper) observe(proxies []model.ProxyView, lenders []lenderRow) {
	now := keeper.context.Now()
	live := make([]model.ProxyID, 0, len(proxies))
	for _, proxy := range proxies {
		live = append(live, proxy.ID())
	}
	if !slices.Equal(live, keeper.live) {
		keeper.live, keeper.liveSince = live, now
	}
	gone := make(map[model.ProxyID]time.Duration)
	for _, lender := range lenders {
		if slices.Contains(live, lender.ID) {
			continue
		}
		gone[lender.ID] = now
		if since, ok := keeper.goneSince[lender.ID]; ok {
			gone[lender.ID] = since
		}
	}
	keeper.goneSince = gone
}

// nextRow returns the row that is to replace the present one. It returns false if that is to
// stay.
func (quota *Quota) nextRow() (row, bool) {
	now := quota.context.Now()
	keeper, present := &quota.keeper, quota.lenders.row
	switch {
	case len(present.Lenders) == 0 && quota.lenders.version == 0:
		first := row{Lenders: chosen(nil, quota.context.State().Proxies()), Settled: quota.context.Settings().FirstStart()}
		return first, now-keeper.liveSince >= stableTime
	case !present.Settled:
		settled := row{Lenders: present.Lenders, Settled: true}
		return settled, now-quota.lenders.learnedAt >= quota.maxRowAge()+settleMargin
	}
	staying := slices.DeleteFunc(slices.Clone(present.Lenders), func(lender lenderRow) bool {
		since, gone := keeper.goneSince[lender.ID]
		return gone && now-since >= goneTime
	})
	if len(staying) < min(minLenders, len(keeper.live)) && now-keeper.liveSince >= stableTime {
		staying = chosen(staying, quota.context.State().Proxies())
	}
	changed := !slices.Equal(staying, present.Lenders)
	return row{Lenders: staying, Previous: present.Lenders}, changed && len(staying) > 0
}

// chosen returns lenders and further live proxies, those with the most cores first.
func chosen(lenders []lenderRow, proxies []model.ProxyView) []lenderRow {
	added := slices.Clone(proxies)
	slices.SortStableFunc(added, func(left, right model.ProxyView) int { return cmp.Compare(right.Cores(), left.Cores()) })
	for _, proxy := range added {
		known := slices.ContainsFunc(lenders, func(lender lenderRow) bool { return lender.ID == proxy.ID() })
		if !known && len(lenders) < maxLenders {
			lenders = append(lenders, lenderRow{ID: proxy.ID(), Address: proxy.Address(), Cores: proxy.Cores()})
		}
	}
	return lenders
}

func (keeper *keeper) write(next row, version uint64) {
	value, err := json.Marshal(next)
	if err != nil {
		keeper.log("lenders_not_written", err.Error())
		return
	}
	keeper.writing = true
	keeper.client.Write([]model.RowWrite{model.NewRowWrite(route.LendersTable, route.LendersKey, version, value)}, func(outcome table.Outcome) {
		keeper.writing = false
		if outcome == table.Written {
			keeper.log("lenders_written", describe(next))
		}
	})
}

func (keeper *keeper) log(name, reason string) {
	keeper.context.Emit(event.NewLogDecision(model.Decision{Name: name, List: model.ListLenders, Reason: reason}))
}

func describe(row row) string {
	if row.Settled {
		return fmt.Sprintf("%d lenders", len(row.Lenders))
	}
	return fmt.Sprintf("%d lenders, %d before, not settled", len(row.Lenders), len(row.Previous))
}

func (quota *Quota) sortedPurses() []*purse {
	return slices.SortedFunc(maps.Values(quota.purses), comparePurses)
}
