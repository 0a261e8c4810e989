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

// skippedParameters lists the parameters of a start-up message that are no settings,
// and the time zone.
var skippedParameters = []string{parameterUser, parameterDatabase, parameterOptions, "timezone"}

// session holds what a caller has set for its connection.
type session struct {
	deployment  string
	class       string
	application string
	tags        query.Tags
	// localTags holds the tags of SET LOCAL; they last as long as the transaction.
	localTags query.Tags
	token     model.Token
}

// newSession returns the session that the parameters of a start-up message ask for.
func newSession(parameters map[string]string) (session, *callerError) {
	started := session{class: parameters[parameterUser], deployment: parameters[parameterDatabase]}
	if started.class == "" {
		return session{}, newCallerError(codes.BadProtocol, "the start-up message names no user")
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
		if reason := started.applyStartupParameter(given); reason != nil {
			return session{}, reason
		}
	}
	return started, nil
}

// applyStartupParameter takes a parameter of the start-up message. A time zone is passed
// over: the caller is told which one is in force.
func (session *session) applyStartupParameter(given setting) *callerError {
	switch {
	case slices.Contains(skippedParameters, given.name), strings.HasPrefix(given.name, extensionPrefix):
		return nil
	case strings.HasPrefix(given.name, settingPrefix):
		return session.setTag(given.name, given.value, false)
	default:
		return session.setDatabaseSetting(given, false)
	}
}

// setDatabaseSetting sets a setting of the database that the proxy answers for.
func (session *session) setDatabaseSetting(given setting, local bool) *callerError {
	if reason := checkDatabaseSetting(given); reason != nil {
		return reason
	}
	switch given.name {
	case settingApplication:
		session.application = given.value
	case settingTimeout:
		timeout, reason := timeoutTagValue(given.value)
		if reason != nil {
			return reason
		}
		return session.setTag(settingPrefix+query.TagTimeout.String(), timeout, local)
	}
	return nil
}

// setTag sets the tag of the given setting name, for the transaction alone if local is set.
func (session *session) setTag(name string, value string, local bool) *callerError {
	tag, ok := query.LookupTag(strings.TrimPrefix(name, settingPrefix))
	if !ok {
		return callerErrorf(codes.MalformedTag, "setting %q is not known", name)
	}
	if reason := checkTag(tag, value); reason != nil {
		return reason
	}
	target := &session.tags
	if local {
		target = &session.localTags
	}
	*target = target.With(tag, value)
	if value == "" {
		*target = target.Without(tag)
	}
	return nil
}

// tagValue returns the value of a tag that is in force for the session.
func (session *session) tagValue(tag query.Tag) string {
	value, _ := session.localTags.Over(session.tags).Get(tag)
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

func (session *session) clearTags() { session.tags, session.localTags = query.Tags{}, query.Tags{} }

// finishRequest takes over the token after a request. Outside of a transaction the
// request id and the tags of SET LOCAL are used up. It returns whether the
// token has changed.
func (session *session) finishRequest(token model.Token, idle bool) bool {
	if idle {
		session.localTags = query.Tags{}
		session.tags = session.tags.Without(query.TagRequestID)
	}
	merged := session.token.Merge(token)
	changed := !merged.Equal(session.token)
	session.token = merged
	return changed
}

// fillRequest fills the fields of a request that come from the tags of a
// statement, of the session and of the transaction, in this order.
func (session *session) fillRequest(tags query.Tags, spec *model.RequestSpec) *callerError {
	tags = tags.Over(session.localTags.Over(session.tags))
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
func checkTag(tag query.Tag, value string) *callerError {
	switch tag {
	case query.TagToken:
		if _, err := model.ParseToken(value); err != nil {
			return newCallerError(codes.MalformedToken, err.Error())
		}
	case query.TagTimeout:
		timeout, err := time.ParseDuration(value)
		if value != "" && (err != nil || timeout <= 0) {
			return callerErrorf(codes.MalformedTag, "timeout %q is not a duration above zero with a unit, such as 250ms", value)
		}
	}
	return nil
}

// reportedParameters returns the parameters that a caller is told at its start-up.
func (session *session) reportedParameters(serverVersion string) []pgproto3.ParameterStatus {
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
