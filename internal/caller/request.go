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

// The headers between callers and the entry.
const (
	// HeaderOutcome is the outcome of the request.
	HeaderOutcome = "Sesamestream-Outcome"
	// HeaderReason says why a request was not run or why its outcome is unknown.
	HeaderReason = "Sesamestream-Reason"
	// HeaderRequest is the ID of the request in logs.
	HeaderRequest = "Sesamestream-Request"
	// HeaderIdempotencyKey is the caller's key for an unrepeatable request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// reservedPrefix is the prefix of the headers that only the system sets.
	reservedPrefix = "Sesamestream-"
)

// The bounds of a request's parts, in bytes.
const (
	maxKeyBytes  = 255
	maxPathBytes = 8 << 10
)

// The errors of requests that cannot be served. Their texts are sent to callers.
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

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Parse checks a request and converts all of it but its body. All its errors are
// caused by the caller's input.
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
		Header:  endToEndHeaders(r.Header),
		Key:     key,
		Arrived: time.Now(),
	}, nil
}

// splitPath returns the kind, which is the path's first segment, and the rest of the
// path with the query, which is sent to the target.
func splitPath(r *http.Request) (fleet.Kind, string, error) {
	p := r.URL.EscapedPath()
	if len(p)+len(r.URL.RawQuery) > maxPathBytes || !strings.HasPrefix(p, "/") || hasDotSegment(p) || strings.Contains(r.URL.RawQuery, "#") {
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

// hasDotSegment reports whether a path has a segment of one or two dots, escaped or
// not. Both separators that targets may accept count, the slash and the backslash.
func hasDotSegment(escaped string) bool {
	p, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	for segment := range strings.FieldsFuncSeq(p, func(x rune) bool { return x == '/' || x == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// parseKey returns the idempotency key, or "" if the request has none.
func parseKey(h http.Header) (string, error) {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", ErrBadKey
	}
	for _, x := range []byte(values[0]) {
		if x <= ' ' || x > '~' {
			return "", ErrBadKey
		}
	}
	return values[0], nil
}

// endToEndHeaders returns the headers to forward, to a target or to a caller: h
// without the hop-by-hop headers and those that only the system sets.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if isReserved(name) {
			delete(out, name)
		}
	}
	return out
}

// isReserved reports whether a header is one that only the system sets. An
// underscore counts as a hyphen, because CGI maps both to the same variable name
// (RFC 3875, section 4.1.18).
func isReserved(name string) bool {
	n := len(reservedPrefix)
	return len(name) >= n && strings.EqualFold(strings.ReplaceAll(name[:n], "_", "-"), reservedPrefix)
}
