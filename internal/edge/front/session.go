package front

import (
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/query"
)

const (
	settingPrefix     = "almondway."
	parameterUser     = "user"
	parameterDatabase = "database"
	parameterOptions  = "options"
	extensionPrefix   = "_pq_."
)

// startOnly lists the parameters of a start-up message that are no settings,
// and the time zone.
var startOnly = []string{parameterUser, parameterDatabase, parameterOptions, "timezone"}

// session holds what a caller has set for its connection.
type session struct {
	deployment  string
	class       string
	application string
	tags        query.Tags
	// local holds the tags of SET LOCAL; they last as long as the transaction.
	local query.Tags
	token model.Token
}

// newSession returns the session that the parameters of a start-up message ask for.
func newSession(parameters map[string]string) (session, *fault) {
	started := session{class: parameters[parameterUser], deployment: parameters[parameterDatabase]}
	if started.class == "" {
		return session{}, newFault(codes.BadProtocol, "the start-up message names no user")
	}
	if started.deployment == "" {
		started.deployment = started.class
	}
	settings, reason := parseOptions(parameters[parameterOptions])
	if reason != nil {
		return session{}, reason
	}
	for name, value := range parameters {
		settings = append(settings, setting{name: strings.ToLower(name), value: value})
	}
	for _, given := range settings {
		if reason := started.startWith(given); reason != nil {
			return session{}, reason
		}
	}
	return started, nil
}

// startWith takes a parameter of the start-up message. A time zone is passed
// over: the caller is told which one is in force.
func (session *session) startWith(given setting) *fault {
	switch {
	case slices.Contains(startOnly, given.name), strings.HasPrefix(given.name, extensionPrefix):
		return nil
	case strings.HasPrefix(given.name, settingPrefix):
		return session.set(given.name, given.value, false)
	default:
		return session.setAccepted(given, false)
	}
}

// setAccepted sets a setting of the database that the proxy answers for.
func (session *session) setAccepted(given setting, local bool) *fault {
	if reason := checkAccepted(given); reason != nil {
		return reason
	}
	switch given.name {
	case settingApplication:
		session.application = given.value
	case settingTimeout:
		timeout, reason := databaseTimeout(given.value)
		if reason != nil {
			return reason
		}
		return session.set(settingPrefix+query.TagTimeout.String(), timeout, local)
	}
	return nil
}

// set sets the tag of the given setting name, for the transaction alone if local is set.
func (session *session) set(name string, value string, local bool) *fault {
	tag, ok := query.LookupTag(strings.TrimPrefix(name, settingPrefix))
	if !ok {
		return faultf(codes.MalformedTag, "setting %q is not known", name)
	}
	if reason := checkTag(tag, value); reason != nil {
		return reason
	}
	target := &session.tags
	if local {
		target = &session.local
	}
	*target = target.With(tag, value)
	if value == "" {
		*target = target.Without(tag)
	}
	return nil
}

// get returns the value of a tag that is in force for the session.
func (session *session) get(tag query.Tag) string {
	value, _ := session.local.Over(session.tags).Get(tag)
	if tag == query.TagToken && value == "" {
		return session.token.String()
	}
	return value
}

// clear sets every tag back and forgets the token.
func (session *session) clear() {
	session.clearTags()
	session.token = model.Token{}
}

func (session *session) clearTags() { session.tags, session.local = query.Tags{}, query.Tags{} }

// conclude takes over the token after a request. Outside of a transaction the
// request id and the tags of SET LOCAL are used up. It returns whether the
// token has changed.
func (session *session) conclude(token model.Token, idle bool) bool {
	if idle {
		session.local = query.Tags{}
		session.tags = session.tags.Without(query.TagRequestID)
	}
	merged := session.token.Merge(token)
	changed := !merged.Equal(session.token)
	session.token = merged
	return changed
}

// describe fills the fields of a request that come from the tags of a
// statement, of the session and of the transaction, in this order.
func (session *session) describe(tags query.Tags, spec *model.RequestSpec) *fault {
	tags = tags.Over(session.local.Over(session.tags))
	for tag := range query.TagCount {
		if value, ok := tags.Get(tag); ok {
			if reason := checkTag(tag, value); reason != nil {
				return reason
			}
		}
	}
	spec.Kind, _ = tags.Get(query.TagKind)
	spec.Key, _ = tags.Get(query.TagKey)
	group, _ := tags.Get(query.TagGroup)
	spec.Group = model.GroupID(group)
	spec.Session, _ = tags.Get(query.TagSession)
	spec.RequestID, _ = tags.Get(query.TagRequestID)
	text, _ := tags.Get(query.TagTimeout)
	spec.Timeout, _ = time.ParseDuration(text)
	text, _ = tags.Get(query.TagToken)
	token, _ := model.ParseToken(text)
	spec.Token = session.token.Merge(token)
	return nil
}

// checkTag returns why a tag cannot have the value.
func checkTag(tag query.Tag, value string) *fault {
	switch tag {
	case query.TagToken:
		if _, err := model.ParseToken(value); err != nil {
			return newFault(codes.MalformedToken, err.Error())
		}
	case query.TagTimeout:
		timeout, err := time.ParseDuration(value)
		if value != "" && (err != nil || timeout <= 0) {
			return faultf(codes.MalformedTag, "timeout %q is not a duration above zero with a unit, such as 250ms", value)
		}
	}
	return nil
}

// reported returns the parameters that a caller is told at its start-up.
func (session *session) reported(serverVersion string) []pgproto3.ParameterStatus {
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: session.application},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "session_authorization", Value: session.class},
		{Name: "is_superuser", Value: "off"},
	}
}
