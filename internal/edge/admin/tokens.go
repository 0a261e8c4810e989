package admin

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 16

// Role is the set of calls that a token permits. A higher role includes the lower ones.
type Role int

const (
	// RoleNone permits no call.
	RoleNone Role = iota
	// RoleReader permits calls that do not change state.
	RoleReader
	// RoleOperator permits all calls.
	RoleOperator
)

// identity is the authenticated client of the API. name is empty if its token has none.
type identity struct {
	role Role
	name string
}

type token struct {
	digest [sha256.Size]byte
	name   string
}

// tokenFile holds the digests of the tokens of one role. It does not keep the tokens
// themselves.
type tokenFile struct {
	path    string
	modTime time.Time
	size    int64
	tokens  []token
}

// Tokens holds the bearer tokens of both roles. It is safe for concurrent use.
type Tokens struct {
	mutex         sync.Mutex
	readers       tokenFile
	operators     tokenFile
	authDisabled  bool // decided at start; a token file that is emptied later does not set it
	onReloadError func(err error)
}

// NewTokens reads the token files; an empty path means no file. A line holds a token,
// or a name and a token. Changed files are read again; if that fails, onReloadError is
// called and the previous tokens stay valid. If there is no operator token, NewTokens
// returns an error unless loopback is set. With loopback set and no token of either
// role, every call is allowed.
func NewTokens(readersPath, operatorsPath string, loopback bool, onReloadError func(err error)) (*Tokens, error) {
	tokens := &Tokens{
		readers:       tokenFile{path: readersPath},
		operators:     tokenFile{path: operatorsPath},
		onReloadError: onReloadError,
	}
	if err := tokens.readers.load(); err != nil {
		return nil, err
	}
	if err := tokens.operators.load(); err != nil {
		return nil, err
	}
	if len(tokens.operators.tokens) > 0 {
		return tokens, nil
	}
	if !loopback {
		return nil, errors.Errorf("operators' token file %q contains no token and the administration API listens on a non-loopback address", operatorsPath)
	}
	tokens.authDisabled = len(tokens.readers.tokens) == 0
	return tokens, nil
}

// identify returns the identity of the token in an Authorization header. Its role is
// RoleNone if the header holds no valid token.
func (tokens *Tokens) identify(header string) identity {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	if tokens.authDisabled {
		return identity{role: RoleOperator}
	}
	tokens.reload()
	text, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return identity{}
	}
	digest := sha256.Sum256([]byte(text))
	readerName, isReader := tokens.readers.find(digest)
	operatorName, isOperator := tokens.operators.find(digest)
	switch {
	case isOperator:
		return identity{role: RoleOperator, name: operatorName}
	case isReader:
		return identity{role: RoleReader, name: readerName}
	default:
		return identity{}
	}
}

func (tokens *Tokens) reload() {
	for _, file := range []*tokenFile{&tokens.readers, &tokens.operators} {
		if err := file.reload(); err != nil {
			tokens.onReloadError(err)
		}
	}
}

// find compares digest with every token in constant time, so that response times do
// not reveal how close a guess is. It returns the name of the matching token.
func (tokenFile *tokenFile) find(digest [sha256.Size]byte) (string, bool) {
	found := -1
	for index := range tokenFile.tokens {
		equal := subtle.ConstantTimeCompare(tokenFile.tokens[index].digest[:], digest[:])
		found = subtle.ConstantTimeSelect(equal, index, found)
	}
	if found < 0 {
		return "", false
	}
	return tokenFile.tokens[found].name, true
}

func (tokenFile *tokenFile) reload() error {
	if tokenFile.path == "" {
		return nil
	}
	info, err := os.Stat(tokenFile.path)
	if err != nil {
		return errors.Wrap(err, "check token file")
	}
	if info.ModTime().Equal(tokenFile.modTime) && info.Size() == tokenFile.size {
		return nil
	}
	return tokenFile.load()
}

func (tokenFile *tokenFile) load() error {
	if tokenFile.path == "" {
		return nil
	}
	info, err := os.Stat(tokenFile.path)
	if err != nil {
		return errors.Wrap(err, "check token file")
	}
	content, err := os.ReadFile(tokenFile.path)
	if err != nil {
		return errors.Wrap(err, "read token file")
	}
	tokens, err := parseTokens(tokenFile.path, content)
	if err != nil {
		return err
	}
	tokenFile.tokens = tokens
	tokenFile.modTime = info.ModTime()
	tokenFile.size = info.Size()
	return nil
}

// parseTokens reads one token per line, with an optional name before it. Errors contain
// the line number but never the content, which may be secret.
func parseTokens(path string, content []byte) ([]token, error) {
	var tokens []token
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) > 2 {
			return nil, errors.Errorf("%s:%d: more than a name and a token", path, line)
		}
		text := fields[len(fields)-1]
		if len(text) < minTokenBytes {
			return nil, errors.Errorf("%s:%d: token is shorter than %d bytes", path, line, minTokenBytes)
		}
		parsed := token{digest: sha256.Sum256([]byte(text))}
		if len(fields) == 2 {
			parsed.name = fields[0]
		}
		tokens = append(tokens, parsed)
	}
	return tokens, errors.Wrapf(scanner.Err(), "read token file %q", path)
}
