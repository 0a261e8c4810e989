package front

import (
	"strconv"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/edge/query"
)

const (
	settingApplication = "application_name"
	settingEncoding    = "client_encoding"
	settingTimeout     = "statement_timeout"
)

// setting is the name of a setting and the value that a caller requests.
type setting struct {
	name  string
	value string
}

// acceptedSettings lists the database settings that a caller may set, with the
// accepted values in lower case, which are those in effect anyway. A nil list
// accepts any value. Other settings are rejected: they apply to one backend
// connection, and callers share backend connections.
var acceptedSettings = map[string][]string{
	settingApplication:            nil,
	"extra_float_digits":          nil,
	"client_min_messages":         nil,
	settingTimeout:                nil,
	settingEncoding:               {"utf8", "utf-8", "unicode"},
	"datestyle":                   {"iso", "iso, mdy", "iso,mdy"},
	"intervalstyle":               {"postgres"},
	"timezone":                    {"utc", "etc/utc", "gmt"},
	"standard_conforming_strings": {"on", "true", "1"},
}

// parseOptions parses the options parameter of a start-up message, which consists
// of "-c name=value" and "--name=value". A backslash escapes a space.
func parseOptions(options string) ([]setting, *callerError) {
	var settings []setting
	fields := splitOptions(options)
	for index := 0; index < len(fields); index++ {
		field := fields[index]
		switch {
		case field == "-c" && index+1 < len(fields):
			index++
			field = fields[index]
		case strings.HasPrefix(field, "-c"):
			field = field[len("-c"):]
		case strings.HasPrefix(field, "--"):
			field = field[len("--"):]
		default:
			return nil, callerErrorf(codes.MalformedTag, "option %q is not -c name=value", field)
		}
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, callerErrorf(codes.MalformedTag, "option %q has no value", field)
		}
		settings = append(settings, setting{name: strings.ToLower(name), value: value})
	}
	return settings, nil
}

func splitOptions(options string) []string {
	var fields []string
	var field strings.Builder
	flush := func() {
		if field.Len() > 0 {
			fields = append(fields, field.String())
			field.Reset()
		}
	}
	for index := 0; index < len(options); index++ {
		switch char := options[index]; {
		case char == '\\' && index+1 < len(options):
			index++
			field.WriteByte(options[index])
		case char == ' ' || char == '\t' || char == '\n':
			flush()
		default:
			field.WriteByte(char)
		}
	}
	flush()
	return fields
}

// parseSet parses the text after SET: [SESSION | LOCAL] name { = | TO } value.
func parseSet(text string) (requested setting, local bool, reason *callerError) {
	word, rest := query.Keyword(text)
	switch word {
	case "SESSION":
		text = rest
	case "LOCAL":
		text, local = rest, true
	case "TIME":
		if next, after := query.Keyword(rest); next == "ZONE" {
			text = "timezone = " + after
		}
	case "NAMES":
		text = settingEncoding + " = " + rest
	}
	name, value, ok := cutAssignment(query.SkipSpaceAndComments(text))
	if !ok {
		return setting{}, local, newCallerError(codes.Unsupported, "SET is served in the form SET name = 'value'")
	}
	return setting{name: strings.ToLower(name), value: unquote(value)}, local, nil
}

func cutAssignment(text string) (name string, value string, ok bool) {
	end := strings.IndexAny(text, " \t\r\n=")
	if end <= 0 {
		return "", "", false
	}
	name, rest := text[:end], query.SkipSpaceAndComments(text[end:])
	if strings.HasPrefix(rest, "=") {
		return name, rest[1:], true
	}
	word, value := query.Keyword(rest)
	return name, value, word == "TO"
}

// unquote returns the value of a string literal or of an unquoted word. For
// DEFAULT it returns an empty string.
func unquote(text string) string {
	text = strings.Trim(query.SkipSpaceAndComments(text), " \t\r\n;")
	if len(text) >= 2 && text[0] == '\'' && text[len(text)-1] == '\'' {
		return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	if strings.EqualFold(text, "DEFAULT") {
		return ""
	}
	return text
}

// timeoutTagValue converts a value of statement_timeout, which is in milliseconds
// unless it has a unit, to that of a timeout tag. 0 means no timeout.
func timeoutTagValue(value string) (string, *callerError) {
	value = strings.ReplaceAll(value, " ", "")
	if _, err := strconv.ParseUint(value, 10, 32); err == nil {
		value += "ms"
	}
	if minutes, ok := strings.CutSuffix(value, "min"); ok {
		value = minutes + "m"
	}
	if value == "" {
		return "", nil
	}
	timeout, err := time.ParseDuration(value)
	switch {
	case err != nil || timeout < 0:
		return "", callerErrorf(codes.MalformedTag, "%s %q is not a duration", settingTimeout, value)
	case timeout == 0:
		return "", nil
	default:
		return timeout.String(), nil
	}
}

// checkDatabaseSetting returns an error if a caller may not set a database setting
// to the requested value.
func checkDatabaseSetting(requested setting) *callerError {
	values, ok := acceptedSettings[requested.name]
	if !ok {
		return callerErrorf(codes.Unsupported, "setting %q cannot be set for a session, since callers share backend connections", requested.name)
	}
	if values == nil || requested.value == "" {
		return nil
	}
	for _, value := range values {
		if strings.EqualFold(value, requested.value) {
			return nil
		}
	}
	return callerErrorf(codes.Unsupported, "setting %q cannot have the value %q", requested.name, requested.value)
}
