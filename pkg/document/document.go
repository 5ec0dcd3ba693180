// Package document decodes YAML documents strictly and reports the line and
// column of every error in them.
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

// ErrInvalid matches every Problems value with errors.Is.
var ErrInvalid = errors.New("document is invalid")

// A Problem is one error in a document. Lines and columns count from 1; 0 means unknown.
type Problem struct {
	// File is the path of the document; empty where the reader of the message knows it.
	File    string
	Line    int
	Column  int
	Message string
}

// String returns the problem as "line:column: message", prefixed with the file if it is set.
func (p Problem) String() string {
	if p.File != "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
}

// Problems is the error that lists all problems of a document.
type Problems []Problem

// Error returns the problems, one per line.
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

// A Violation is a broken rule at a YAML path such as "$.kinds[2].floor".
type Violation struct {
	Path    string
	Message string
}

// A Validator finds the rules that a decoded value breaks.
type Validator interface {
	Violations() []Violation
}

// Decode decodes data into v, rejects unknown fields and duplicate keys, and
// then validates v. It returns Problems or nil.
func Decode(data []byte, v Validator) (err error) {
	// The library panics on some malformed documents.
	defer func() {
		if x := recover(); x != nil {
			err = Problems{{Line: 1, Column: 1, Message: fmt.Sprintf("malformed document: %v", x)}}
		}
	}()
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Problems{problemFrom(err)}
	}
	d := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := d.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return Problems{withPosition(f, problemFrom(err))}
	}
	return locateAll(f, v.Violations())
}

// problemFrom converts an error of the YAML library, with its position if it has one.
func problemFrom(err error) Problem {
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

// A quotedFinder finds the first scalar whose value a message quotes.
type quotedFinder struct {
	message string
	found   ast.Node
}

// Visit records n if it is the first scalar whose value the message quotes.
func (q *quotedFinder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(ast.ScalarNode)
	if ok && q.found == nil && strings.Contains(q.message, fmt.Sprintf("%q", fmt.Sprint(s.GetValue()))) {
		q.found = n
	}
	return q
}

// withPosition gives a problem without a position the position of the value that
// its message quotes. Errors of text decoders, for addresses and durations, have no position.
func withPosition(f *ast.File, p Problem) Problem {
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

// locateAll converts violations to problems with positions.
func locateAll(f *ast.File, violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	problems := make(Problems, 0, len(violations))
	for _, v := range violations {
		problems = append(problems, locate(f, v))
	}
	return problems
}

// locate returns the problem at the node of a violation, or at its nearest parent in the document.
func locate(f *ast.File, v Violation) Problem {
	for path := v.Path; path != ""; path = parentPath(path) {
		p, err := yaml.PathString(path)
		if err != nil {
			continue
		}
		n, err := p.FilterFile(f)
		if err != nil || n == nil {
			continue
		}
		at := n.GetToken().Position
		return Problem{Line: at.Line, Column: at.Column, Message: v.Path + ": " + v.Message}
	}
	return Problem{Line: 1, Column: 1, Message: v.Path + ": " + v.Message}
}

// parentPath removes the last step of a path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i <= 0 {
		return ""
	}
	return path[:i]
}
