// Package document reads YAML documents strictly and names the line and
// column of whatever is wrong in them.
package document

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// ErrInvalid is the cause of every Problems value.
var ErrInvalid = errors.New("document is invalid")

// A Problem is one fault in a document; lines and columns count from 1, 0 is unknown.
type Problem struct {
	// File is where the problem is, empty where the reader knows.
	File    string
	Line    int
	Column  int
	Message string
}

// String returns the problem as "line:column: message", behind the file where it is set.
func (p Problem) String() string {
	if p.File != "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
}

// Problems is the error that lists every fault found.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool {
	return target == ErrInvalid
}

// A Violation is a problem at a YAML path such as "$.kinds[2].floor".
type Violation struct {
	Path    string
	Message string
}

// A Validator finds the faults of a decoded value.
type Validator interface {
	Violations() []Violation
}

// Decode reads data into v, refusing unknown fields and duplicate keys,
// and then lists the faults v finds in itself. It returns Problems or nil.
func Decode(data []byte, v Validator) (err error) {
	// The library panics on some malformed documents.
	defer func() {
		if x := recover(); x != nil {
			err = Problems{{Line: 1, Column: 1, Message: fmt.Sprintf("malformed document: %v", x)}}
		}
	}()
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Problems{problemOf(err)}
	}
	d := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := d.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return Problems{positioned(f, problemOf(err))}
	}
	return located(f, v.Violations())
}

// problemOf takes the position out of a library error.
func problemOf(err error) Problem {
	var e yaml.Error
	if !errors.As(err, &e) {
		return Problem{Message: err.Error()}
	}
	p := Problem{Message: e.GetMessage()}
	if t := e.GetToken(); t != nil {
		p.Line = t.Position.Line
		p.Column = t.Position.Column
	}
	return p
}

// A quotedFinder looks for the scalar that a message quotes.
type quotedFinder struct {
	message string
	found   ast.Node
}

// Visit stops at the first scalar whose value the message quotes.
func (q *quotedFinder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(ast.ScalarNode)
	if ok && q.found == nil && strings.Contains(q.message, fmt.Sprintf("%q", fmt.Sprint(s.GetValue()))) {
		q.found = n
	}
	return q
}

// positioned gives a problem without a position that of the value it quotes:
// the errors of text decoders (addresses, durations) carry none.
func positioned(f *ast.File, p Problem) Problem {
	if p.Line != 0 {
		return p
	}
	q := &quotedFinder{message: p.Message}
	for _, d := range f.Docs {
		ast.Walk(q, d.Body)
	}
	if q.found != nil {
		at := q.found.GetToken().Position
		p.Line = at.Line
		p.Column = at.Column
	}
	return p
}

// located turns faults into problems with positions.
func located(f *ast.File, faults []Violation) error {
	if len(faults) == 0 {
		return nil
	}
	problems := make(Problems, 0, len(faults))
	for _, u := range faults {
		problems = append(problems, locate(f, u))
	}
	return problems
}

// locate finds the node of a fault, or of its nearest parent that is there.
func locate(f *ast.File, u Violation) Problem {
	for path := u.Path; path != ""; path = parent(path) {
		p, err := yaml.PathString(path)
		if err != nil {
			continue
		}
		n, err := p.FilterFile(f)
		if err != nil || n == nil {
			continue
		}
		at := n.GetToken().Position
		return Problem{Line: at.Line, Column: at.Column, Message: u.Path + ": " + u.Message}
	}
	return Problem{Line: 1, Column: 1, Message: u.Path + ": " + u.Message}
}

// parent cuts the last step off a path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i <= 0 {
		return ""
	}
	return path[:i]
}
