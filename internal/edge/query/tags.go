// Package query scans the text of SQL statements for what the proxy needs: tags
// in sqlcommenter comments, the first keyword, and the boundaries between the
// statements of a simple query. It is not an SQL parser.
package query

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Tag is a request property that the caller sets in a comment or a session setting.
type Tag int

// The tags of a request.
const (
	TagKind Tag = iota
	TagKey
	TagGroup
	TagSession
	TagToken
	TagTimeout
	TagRequestID
	// TagCount is the number of tags.
	TagCount
)

var tagNames = [TagCount]string{"kind", "key", "group", "session", "token", "timeout", "request_id"}

const maxTagValueBytes = 8 << 10

// LookupTag returns the Tag of the given name.
func LookupTag(name string) (Tag, bool) {
	for tag, known := range tagNames {
		if known == name {
			return Tag(tag), true
		}
	}
	return 0, false
}

// String returns the name of the Tag in snake case, as it appears in comments.
func (tag Tag) String() string { return tagNames[tag] }

// Tags holds the values of the tags that a caller has set. In the zero Tags none
// is set. Tags is immutable: its methods return a changed copy.
type Tags struct {
	values [TagCount]string
	set    uint8
}

// Get returns the value of tag and whether it is set.
func (tags Tags) Get(tag Tag) (string, bool) { return tags.values[tag], tags.set&(1<<tag) != 0 }

// With returns a copy in which tag is set to value.
func (tags Tags) With(tag Tag, value string) Tags {
	tags.values[tag] = value
	tags.set |= 1 << tag
	return tags
}

// Without returns a copy in which tag is not set.
func (tags Tags) Without(tag Tag) Tags {
	tags.values[tag] = ""
	tags.set &^= 1 << tag
	return tags
}

// WithDefaults returns a copy in which tags that are not set are taken from defaults.
func (tags Tags) WithDefaults(defaults Tags) Tags {
	if tags.set == 0 {
		return defaults
	}
	for tag := range TagCount {
		if value, ok := tags.Get(tag); ok {
			defaults = defaults.With(tag, value)
		}
	}
	return defaults
}

// ParseTags returns the tags of the sqlcommenter comments at the start and the
// end of a statement, and the statement without these comments. If both set a
// tag, the leading comment takes precedence. Other comments remain.
func ParseTags(sql string) (tags Tags, rest string, err error) {
	if !strings.Contains(sql, "*/") {
		return Tags{}, sql, nil
	}
	rest = sql
	for _, find := range []func(string) (int, int, bool){leadingComment, trailingComment} {
		start, end, ok := find(rest)
		if !ok {
			continue
		}
		found, ok, err := parseComment(rest[start:end])
		if err != nil {
			return Tags{}, sql, err
		}
		if ok {
			tags = tags.WithDefaults(found)
			rest = rest[:start] + rest[end:]
		}
	}
	return tags, rest, nil
}

// leadingComment returns the start and end index of a comment at the start of sql.
func leadingComment(sql string) (start int, end int, ok bool) {
	start = len(sql) - len(strings.TrimLeft(sql, whitespace))
	if !strings.HasPrefix(sql[start:], "/*") {
		return 0, 0, false
	}
	end = skipComment(sql, start)
	return start, end, end <= len(sql) && strings.HasSuffix(sql[:end], "*/")
}

// trailingComment returns the start and end index of a comment at the end of sql.
func trailingComment(sql string) (start int, end int, ok bool) {
	end = len(strings.TrimRight(sql, whitespace+";"))
	if !strings.HasSuffix(sql[:end], "*/") {
		return 0, 0, false
	}
	start = strings.LastIndex(sql[:end], "/*")
	return start, end, start >= 0
}

// parseComment parses "/*key='value',...*/". A malformed comment is an error if
// it starts with the name of a known tag; otherwise it is not a tag comment.
func parseComment(comment string) (tags Tags, found bool, err error) {
	if len(comment) < len("/**/") {
		return Tags{}, false, nil
	}
	body := strings.Trim(comment[len("/*"):len(comment)-len("*/")], whitespace)
	pairs, err := parsePairs(body)
	if err != nil {
		if startsWithTag(body) {
			return Tags{}, false, err
		}
		return Tags{}, false, nil
	}
	for _, pair := range pairs {
		tag, ok := LookupTag(pair.name)
		if !ok {
			continue
		}
		if _, set := tags.Get(tag); set {
			return Tags{}, false, errors.Errorf("tag %s is duplicated", tag)
		}
		tags = tags.With(tag, pair.value)
	}
	return tags, true, nil
}

func startsWithTag(body string) bool {
	name, _, ok := strings.Cut(body, "=")
	if !ok {
		return false
	}
	_, known := LookupTag(strings.Trim(name, whitespace))
	return known
}

type pair struct {
	name  string
	value string
}

// parsePairs parses "key='value',...". Values are URL-encoded, and a quote in a
// value may be escaped with a backslash.
func parsePairs(body string) ([]pair, error) {
	var pairs []pair
	for {
		name, after, ok := strings.Cut(body, "=")
		if !ok {
			return nil, errors.Errorf("tag %q has no value", truncate(body))
		}
		value, rest, err := cutQuoted(strings.TrimLeft(after, whitespace))
		if err != nil {
			return nil, errors.Wrapf(err, "tag %q", truncate(name))
		}
		pairs = append(pairs, pair{name: strings.Trim(name, whitespace), value: value})
		rest = strings.TrimLeft(rest, whitespace)
		if rest == "" {
			return pairs, nil
		}
		if rest[0] != ',' {
			return nil, errors.Errorf("no comma after tag %q", truncate(name))
		}
		body = rest[1:]
	}
}

func cutQuoted(text string) (value string, rest string, err error) {
	if text == "" || text[0] != '\'' {
		return "", "", errors.New("value does not start with a quote")
	}
	end := 1
	for end < len(text) && text[end] != '\'' {
		if text[end] == '\\' {
			end++
		}
		end++
	}
	if end >= len(text) {
		return "", "", errors.New("value does not end with a quote")
	}
	raw := strings.ReplaceAll(text[1:end], `\'`, `'`)
	if len(raw) > maxTagValueBytes {
		return "", "", errors.Errorf("value has %d bytes, more than %d", len(raw), maxTagValueBytes)
	}
	value, err = url.PathUnescape(raw)
	return value, text[end+1:], errors.Wrap(err, "decode value")
}

const maxQuotedBytes = 40

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
