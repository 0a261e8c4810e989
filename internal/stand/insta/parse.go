package insta

import (
	"regexp"
	"strconv"
	"strings"
)

// argument is a literal in a statement or the number of a parameter.
type argument struct {
	literal string
	param   int // 1 is the first parameter; 0 means a literal
}

// statement is a parsed statement. The template is its normalized text: words in
// lower case with single spaces between them, no space next to punctuation, and
// "?" in place of each literal and parameter.
type statement struct {
	template string
	args     []argument
	label    string // NAME of a comment "/*label NAME*/"
}

const labelPrefix = "/*label "

var tokenPattern = regexp.MustCompile(`(?s)/\*.*?\*/|--[^\n]*|'(?:[^']|'')*'|\$\d+|::\s*\w+|"[^"]*"|\d+(?:\.\d+)?|[A-Za-z_][\w.]*|\s+|.`)

var wordEndPattern = regexp.MustCompile(`[\w?*"]$`)

// parseStatements splits a query text into statements. Comments other than
// labels are ignored.
func parseStatements(sql string) []statement {
	var statements []statement
	var current statement
	finish := func() {
		if current.template != "" {
			statements = append(statements, current)
		}
		current = statement{}
	}
	for _, token := range tokenPattern.FindAllString(sql, -1) {
		switch {
		case token == ";":
			finish()
		case strings.HasPrefix(token, labelPrefix):
			current.label = strings.TrimSpace(strings.TrimSuffix(token[len(labelPrefix):], "*/"))
		case strings.TrimSpace(token) == "", strings.HasPrefix(token, "/*"), strings.HasPrefix(token, "--"), strings.HasPrefix(token, "::"):
		default:
			current.addToken(token)
		}
	}
	finish()
	return statements
}

func (statement *statement) addToken(token string) {
	text := strings.ToLower(token)
	switch {
	case token[0] == '\'':
		literal := strings.ReplaceAll(token[1:len(token)-1], "''", "'")
		statement.args = append(statement.args, argument{literal: literal})
		text = "?"
	case token[0] >= '0' && token[0] <= '9':
		statement.args = append(statement.args, argument{literal: token})
		text = "?"
	case token[0] == '$':
		number, _ := strconv.Atoi(token[1:])
		statement.args = append(statement.args, argument{param: number})
		text = "?"
	}
	if wordEndPattern.MatchString(statement.template) && wordEndPattern.MatchString(text) {
		statement.template += " "
	}
	statement.template += text
}

// paramCount returns the highest parameter number.
func (statement statement) paramCount() int {
	count := 0
	for _, arg := range statement.args {
		count = max(count, arg.param)
	}
	return count
}
