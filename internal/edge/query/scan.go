package query

import "strings"

const whitespace = " \t\r\n\f\v"

// Split returns the statements of a simple query, without those that are empty
// or contain only comments.
func Split(sql string) []string {
	var statements []string
	start := 0
	for at := 0; at < len(sql); {
		if sql[at] == ';' {
			statements = appendStatement(statements, sql[start:at])
			start = at + 1
		}
		at = skipToken(sql, at)
	}
	return appendStatement(statements, sql[start:])
}

func appendStatement(statements []string, statement string) []string {
	if SkipSpaceAndComments(statement) == "" {
		return statements
	}
	return append(statements, statement)
}

// SkipSpaceAndComments returns sql without leading white space and comments.
func SkipSpaceAndComments(sql string) string {
	for at := 0; at < len(sql); {
		switch {
		case strings.IndexByte(whitespace, sql[at]) >= 0:
			at++
		case strings.HasPrefix(sql[at:], "--"), strings.HasPrefix(sql[at:], "/*"):
			at = skipToken(sql, at)
		default:
			return sql[at:]
		}
	}
	return ""
}

// Keyword returns the first word of sql after white space and comments, in upper
// case, and the text after it. The word is empty if sql starts with another token.
func Keyword(sql string) (word string, rest string) {
	sql = SkipSpaceAndComments(sql)
	end := 0
	for end < len(sql) && isLetter(sql[end]) {
		end++
	}
	return strings.ToUpper(sql[:end]), sql[end:]
}

func isLetter(char byte) bool {
	return 'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z' || char == '_'
}

func isWordByte(char byte) bool {
	return isLetter(char) || '0' <= char && char <= '9' || char == '$' || char >= 0x80
}

// skipToken returns the index after the token that starts at index at. A token
// is a literal, a quoted identifier, a comment, a word or a single other byte.
func skipToken(sql string, at int) int {
	switch char := sql[at]; {
	case char == '\'':
		return skipQuoted(sql, at, false)
	case char == '"':
		return skipQuoted(sql, at, false)
	case char == '$':
		return skipDollar(sql, at)
	case strings.HasPrefix(sql[at:], "--"):
		return skipLine(sql, at)
	case strings.HasPrefix(sql[at:], "/*"):
		return skipComment(sql, at)
	case isWordByte(char):
		return skipWord(sql, at)
	default:
		return at + 1
	}
}

func skipWord(sql string, at int) int {
	end := at
	for end < len(sql) && isWordByte(sql[end]) {
		end++
	}
	escaped := end-at == 1 && (sql[at] == 'e' || sql[at] == 'E')
	if escaped && end < len(sql) && sql[end] == '\'' {
		return skipQuoted(sql, end, true)
	}
	return end
}

// skipQuoted skips a literal or a quoted identifier. A doubled quote does not end
// it; if escaped is set, neither does a quote after a backslash.
func skipQuoted(sql string, at int, escaped bool) int {
	quote := sql[at]
	for at++; at < len(sql); at++ {
		switch {
		case escaped && sql[at] == '\\':
			at++
		case sql[at] != quote:
		case at+1 < len(sql) && sql[at+1] == quote:
			at++
		default:
			return at + 1
		}
	}
	return len(sql)
}

// skipDollar skips a dollar-quoted literal, or one byte if no such literal starts at index at.
func skipDollar(sql string, at int) int {
	end := at + 1
	for end < len(sql) && sql[end] != '$' {
		if !isWordByte(sql[end]) || end == at+1 && '0' <= sql[end] && sql[end] <= '9' {
			return at + 1
		}
		end++
	}
	if end >= len(sql) {
		return at + 1
	}
	delimiter := sql[at : end+1]
	length := strings.Index(sql[end+1:], delimiter)
	if length < 0 {
		return len(sql)
	}
	return end + 1 + length + len(delimiter)
}

func skipLine(sql string, at int) int {
	length := strings.IndexByte(sql[at:], '\n')
	if length < 0 {
		return len(sql)
	}
	return at + length + 1
}

// skipComment skips a block comment, including nested ones.
func skipComment(sql string, at int) int {
	depth := 0
	for at < len(sql) {
		switch {
		case strings.HasPrefix(sql[at:], "/*"):
			depth++
			at += len("/*")
		case strings.HasPrefix(sql[at:], "*/"):
			depth--
			at += len("*/")
		default:
			at++
		}
		if depth == 0 {
			return at
		}
	}
	return len(sql)
}
