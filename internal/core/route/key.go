package route

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/kern"
)

// UnconfirmedRetryAfter is when a caller may come back whose request was refused because the
// configuration was too old.
const UnconfirmedRetryAfter = 250 * time.Millisecond

// CheckKey returns the reason why a statement must not be sent under the name of the team that its
// caller had when it arrived, or codes.OK.
func CheckKey(context *kern.Context, job *Job) (codes.Code, string) {
	team, code := context.State().Identify(job.Deployment(), job.Key(), context.Now(), context.Settings().MaxKeyAge())
	switch {
	case code == codes.UnknownKey:
		return code, "the key was withdrawn before the statement was sent"
	case code == codes.RevisionUnconfirmed:
		return code, "the configuration became too old before the statement was sent"
	case team.Name() != job.Team().Name():
		return codes.UnknownKey, "the key was given to another team before the statement was sent"
	default:
		return codes.OK, ""
	}
}

// SendBefore returns the time by which a statement of a job must be sent, since its key may have been
// withdrawn then, or 0.
func SendBefore(context *kern.Context, job *Job) time.Duration {
	if job.Team() == nil {
		return 0
	}
	until, _ := context.State().KeysValidUntil(context.Settings().MaxKeyAge())
	return until
}
