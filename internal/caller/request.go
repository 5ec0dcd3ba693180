package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The headers that callers meet.
const (
	// HeaderOutcome tells a caller what became of the request.
	HeaderOutcome = "Sesamestream-Outcome"
	// HeaderReason says why a request was not run or is unknown.
	HeaderReason = "Sesamestream-Reason"
	// HeaderRequest names the request in logs.
	HeaderRequest = "Sesamestream-Request"
	// HeaderIdempotencyKey is the caller's name for an unrepeatable request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// reservedPrefix starts every header that only the system sets.
	reservedPrefix = "Sesamestream-"
)

// The bounds of a request's parts, in bytes.
const (
	maxKey  = 255
	maxPath = 8 << 10
)

// The errors of malformed requests.
var (
	ErrBadKind            = errors.New("the path must start with /{kind}/")
	ErrBadKey             = errors.New("the Idempotency-Key must be 1 to 255 visible ASCII characters, given once")
	ErrBadPath            = errors.New("the path is malformed or too long")
	ErrBodyTooLarge       = errors.New("the body is too large")
	ErrBodyTimeout        = errors.New("the body did not arrive in time")
	ErrBodyTruncated      = errors.New("the body was cut")
	ErrBuffersFull        = errors.New("the entry holds as many bodies as it may")
	ErrUpgradeUnsupported = errors.New("upgrades and CONNECT are not served")
)

// A Request is one well-formed request of a caller.
type Request struct {
	ID      string
	Kind    fleet.Kind
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Key     string
	Arrived time.Time
}

// hopHeaders end at one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Parse reads all of a request but its body. Its errors are about the caller's input.
func Parse(r *http.Request) (*Request, error) {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return nil, ErrUpgradeUnsupported
	}
	kind, path, err := splitPath(r)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(r.Header)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID:      uuid.NewString(),
		Kind:    kind,
		Method:  r.Method,
		Path:    path,
		Header:  endToEnd(r.Header),
		Key:     key,
		Arrived: time.Now(),
	}, nil
}

// splitPath takes the kind from the first segment; the rest goes to the target.
func splitPath(r *http.Request) (fleet.Kind, string, error) {
	p := r.URL.EscapedPath()
	if len(p)+len(r.URL.RawQuery) > maxPath || !strings.HasPrefix(p, "/") || climbs(p) || strings.Contains(r.URL.RawQuery, "#") {
		return "", "", ErrBadPath
	}
	kind, rest, ok := strings.Cut(p[1:], "/")
	if !ok || kind == "" {
		return "", "", ErrBadKind
	}
	for _, x := range kind {
		letter := x >= 'a' && x <= 'z' || x >= '0' && x <= '9'
		if !letter && x != '-' && x != '_' {
			return "", "", ErrBadKind
		}
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return fleet.Kind(kind), path, nil
}

// climbs reports whether a path has a segment of one or two dots, escaped or
// not, by either separator that targets may know.
func climbs(escaped string) bool {
	p, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	for s := range strings.FieldsFuncSeq(p, func(x rune) bool { return x == '/' || x == '\\' }) {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

func parseKey(h http.Header) (string, error) {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKey {
		return "", ErrBadKey
	}
	for _, x := range []byte(values[0]) {
		if x <= ' ' || x > '~' {
			return "", ErrBadKey
		}
	}
	return values[0], nil
}

// endToEnd returns the headers that go on to the target: none that ends at
// this connection, none that only the system sets.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if reserved(name) {
			delete(out, name)
		}
	}
	return out
}

// reserved reports whether only the system sets a header. Programs behind CGI
// cannot tell an underscore from a hyphen (RFC 3875, section 4.1.18).
func reserved(name string) bool {
	n := len(reservedPrefix)
	return len(name) >= n && strings.EqualFold(strings.ReplaceAll(name[:n], "_", "-"), reservedPrefix)
}
