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

// skippedParameters lists the start-up parameters that are not applied as settings.
// The user, the database and the options are read separately. A time zone is
// ignored: the caller receives the one in effect as a reported parameter.
var skippedParameters = []string{parameterUser, parameterDatabase, parameterOptions, "timezone"}

// session holds the start-up parameters, settings and token of a caller.
type session struct {
	deployment  string
	class       string
	application string
	tags        query.Tags
	// localTags holds the tags of SET LOCAL, which apply until the end of the
	// transaction.
	localTags query.Tags
	token     model.Token
}

// newSession returns a session with the parameters of a start-up message. The
// deployment defaults to the user, as the database does in PostgreSQL.
func newSession(parameters map[string]string) (session, *callerError) {
	started := session{class: parameters[parameterUser], deployment: parameters[parameterDatabase]}
	if started.class == "" {
		return session{}, newCallerError(codes.BadProtocol, "the start-up message has no user parameter")
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
	for _, requested := range settings {
		if reason := started.applyStartupParameter(requested); reason != nil {
			return session{}, reason
		}
	}
	return started, nil
}

// applyStartupParameter applies a parameter of the start-up message, unless it is
// a skipped one or a protocol extension.
func (session *session) applyStartupParameter(requested setting) *callerError {
	switch {
	case slices.Contains(skippedParameters, requested.name), strings.HasPrefix(requested.name, extensionPrefix):
		return nil
	case strings.HasPrefix(requested.name, settingPrefix):
		return session.setTag(requested.name, requested.value, false)
	default:
		return session.setDatabaseSetting(requested, false)
	}
}

// setDatabaseSetting sets a database setting that callers may change. The
// application name is stored and the statement timeout becomes a tag; any other
// setting has no effect.
func (session *session) setDatabaseSetting(requested setting, local bool) *callerError {
	if reason := checkDatabaseSetting(requested); reason != nil {
		return reason
	}
	switch requested.name {
	case settingApplication:
		session.application = requested.value
	case settingTimeout:
		timeout, reason := timeoutTagValue(requested.value)
		if reason != nil {
			return reason
		}
		return session.setTag(settingPrefix+query.TagTimeout.String(), timeout, local)
	}
	return nil
}

// setTag sets the tag with the given setting name; if local is set, only for the
// current transaction. An empty value removes the tag.
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

// tagValue returns the value of a tag that is in effect for the session.
func (session *session) tagValue(tag query.Tag) string {
	value, _ := session.localTags.WithDefaults(session.tags).Get(tag)
	if tag == query.TagToken && value == "" {
		return session.token.String()
	}
	return value
}

// clear removes all tags and the token.
func (session *session) clear() {
	session.clearTags()
	session.token = model.Token{}
}

func (session *session) clearTags() { session.tags, session.localTags = query.Tags{}, query.Tags{} }

// finishRequest merges the token of a reply into the session and reports whether
// the session's token has changed. If no transaction is open, it also removes the
// request id and the tags of SET LOCAL.
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

// fillRequest sets the fields of a request that are given by tags. A tag of the
// statement takes precedence over one of SET LOCAL, and that over one of the
// session.
func (session *session) fillRequest(tags query.Tags, spec *model.RequestSpec) *callerError {
	tags = tags.WithDefaults(session.localTags.WithDefaults(session.tags))
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

// checkTag returns an error if the value is not valid for the tag.
func checkTag(tag query.Tag, value string) *callerError {
	switch tag {
	case query.TagToken:
		if _, err := model.ParseToken(value); err != nil {
			return newCallerError(codes.MalformedToken, err.Error())
		}
	case query.TagTimeout:
		timeout, err := time.ParseDuration(value)
		if value != "" && (err != nil || timeout <= 0) {
			return callerErrorf(codes.MalformedTag, "timeout %q is not a positive duration with a unit, such as 250ms", value)
		}
	}
	return nil
}

// reportedParameters returns the parameters that are reported to a caller at its
// start-up.
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
