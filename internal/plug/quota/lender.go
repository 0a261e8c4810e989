package quota

import (
	"encoding/json"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
)

// lendersPerTeam is the number of lenders of a team. Two of three lend enough for a team that uses
// two thirds of its limit.
const lendersPerTeam = 3

// defaultMaxRowAge is the age of its copy of the row up to which a lender works, unless keys end
// earlier.
const defaultMaxRowAge = 5 * time.Second

// row is the list of lenders in the store.
type row struct {
	// Number grows by one with each change.
	Number  uint64      `json:"number"`
	Lenders []lenderRow `json:"lenders"`
	// Previous are the lenders before the last change. Until Settled is set, some of them may not
	// know of it, and only proxies that are lenders of a team by both lists lend its tokens.
	Previous []lenderRow `json:"previous,omitempty"`
	Settled  bool        `json:"settled"`
}

type lenderRow struct {
	ID      model.ProxyID `json:"id"`
	Address string        `json:"address"`
	Cores   float64       `json:"cores"`
}

func (row lenderRow) view() model.ProxyView {
	return model.NewProxyView(row.ID, row.Address, "", 0, false, 0).WithCores(row.Cores)
}

// lenders is the decoded row with the lenders.
type lenders struct {
	version   uint64 // of the row, or 0
	row       row
	learnedAt time.Duration // when this version was first seen
	current   map[model.TeamName][]model.ProxyView
	previous  map[model.TeamName][]model.ProxyView
}

// of returns the lenders of a team, of which there are none if no list is known.
func (lenders *lenders) of(team model.TeamName) []model.ProxyView {
	return pick(lenders.current, lenders.row.Lenders, team)
}

// before returns the lenders of a team before the last change.
func (lenders *lenders) before(team model.TeamName) []model.ProxyView {
	return pick(lenders.previous, lenders.row.Previous, team)
}

// lendsNow reports whether a proxy is a lender of a team and the others know that.
func (lenders *lenders) lendsNow(team model.TeamName, self model.ProxyID) bool {
	isSelf := func(lender model.ProxyView) bool { return lender.ID() == self }
	if !slices.ContainsFunc(lenders.of(team), isSelf) {
		return false
	}
	return lenders.row.Settled || slices.ContainsFunc(lenders.before(team), isSelf)
}

// parts returns into how many parts what a team may use is divided. Until a change is settled it
// is divided into as many as any lender may believe.
func (lenders *lenders) parts(team model.TeamName) int {
	if lenders.row.Settled {
		return len(lenders.of(team))
	}
	return max(len(lenders.of(team)), len(lenders.before(team)))
}

// pick returns the lenders of a team from a list. It caches the result.
func pick(cache map[model.TeamName][]model.ProxyView, rows []lenderRow, team model.TeamName) []model.ProxyView {
	if len(rows) == 0 {
		return nil
	}
	found, ok := cache[team]
	if !ok {
		views := make([]model.ProxyView, 0, len(rows))
		for _, row := range rows {
			views = append(views, row.view())
		}
		found = rank.ByCores("tokens of "+string(team), views)
		found = found[:min(lendersPerTeam, len(found))]
		cache[team] = found
	}
	return found
}

// setLenders puts a new version of the row in force.
func (quota *Quota) setLenders(listed event.LendersListed) {
	if listed.Version() == quota.lenders.version && listed.Version() != 0 {
		return
	}
	var decoded row
	if listed.Version() != 0 {
		if err := json.Unmarshal(listed.Value(), &decoded); err != nil {
			quota.log("row_unreadable", model.Decision{List: model.ListLenders, Reason: err.Error()})
			decoded = row{}
		}
	}
	follows := decoded.Number == quota.lenders.row.Number+1
	quota.lenders = lenders{
		version:   listed.Version(),
		row:       decoded,
		learnedAt: quota.context.Now(),
		current:   make(map[model.TeamName][]model.ProxyView),
		previous:  make(map[model.TeamName][]model.ProxyView),
	}
	quota.keeper.known = true
	for team := range quota.buckets {
		// In a version that was missed, another proxy may have been the lender.
		if !follows || !quota.lenders.lendsNow(team, quota.self()) {
			delete(quota.buckets, team)
		}
	}
	quota.log("lenders_listed", model.Decision{List: model.ListLenders, Reason: describe(decoded)})
	if slices.ContainsFunc(decoded.Lenders, func(lender lenderRow) bool { return lender.ID == quota.self() }) {
		quota.starter.begin(quota.lenders.version)
	}
	for _, purse := range quota.sortedPurses() {
		if purse.next() != nil {
			quota.borrow(purse)
		}
	}
}

// handleBorrow answers a call of another proxy for tokens.
func (quota *Quota) handleBorrow(received event.BorrowReceived) {
	if received.To() != quota.self() {
		quota.context.Emit(event.NewRefuseBorrow(received.ID(), codes.WrongProxy))
		return
	}
	quota.context.Emit(event.NewAnswerBorrow(received.ID(), quota.lend(received.Demands())).WithMarks(quota.newestMarks()))
}

// lend returns the loans for some demands.
func (quota *Quota) lend(demands []model.TokenDemand) []model.Loan {
	loans := make([]model.Loan, 0, len(demands))
	for _, demand := range demands {
		loans = append(loans, quota.lendTo(demand))
	}
	return loans
}

func (quota *Quota) lendTo(demand model.TokenDemand) model.Loan {
	context := quota.context
	now := context.Now()
	nothing := model.NewLoan(demand.Team(), 0, 0, unavailableRetryAfter)
	team := context.State().Teams().Find(demand.Team())
	if !team.Limited() || !quota.mayLend(demand.Team(), now) {
		return nothing
	}
	settings := context.Settings()
	limits := limitsOf(team, quota.lenders.parts(team.Name()), settings.QuotaWindow(), settings.QuotaOverage(), settings.QuotaSlack())
	found, ok := quota.buckets[demand.Team()]
	if !ok {
		found = quota.openBucket(demand.Team(), now)
	}
	if quota.starter.mayAdd(demand.Team(), quota.lenders.version) {
		found.addStart(limits, now)
	}
	count := found.lend(limits, now, demand.Tokens())
	retryAfter := time.Duration(0)
	switch {
	case count > 0:
	case quota.starter.pending():
		return model.NewLoan(demand.Team(), 0, 0, startRetryAfter)
	default:
		retryAfter = found.retryAfter(limits)
	}
	return model.NewLoan(demand.Team(), count, limits.lifetime, retryAfter)
}

// mayLend reports whether this proxy is a lender of a team. Its copy of the row must be young:
// once it is older, the row may name other lenders.
func (quota *Quota) mayLend(team model.TeamName, now time.Duration) bool {
	checkedAt, ok := quota.context.State().ListCheckedAt(model.ListLenders)
	return ok && now-checkedAt <= quota.maxRowAge() && quota.lenders.lendsNow(team, quota.self())
}

func (quota *Quota) maxRowAge() time.Duration {
	if maxAge := quota.context.Settings().MaxKeyAge(); maxAge > 0 {
		return maxAge
	}
	return defaultMaxRowAge
}

// openBucket returns the bucket of a team that nobody has asked for yet. It has filled since this
// proxy has been the lender.
func (quota *Quota) openBucket(team model.TeamName, now time.Duration) *bucket {
	quota.buckets[team] = newBucket(min(now, quota.lenders.learnedAt))
	return quota.buckets[team]
}
