package table

import (
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
)

// ParseYAML reads a table and checks it. The error lists each fault with its
// line and column and is ErrInvalid.
func ParseYAML(data []byte) (*Table, error) {
	t := &Table{}
	if err := document.Decode(data, t); err != nil {
		return nil, err
	}
	return t, nil
}

// YAML returns t as a document that ParseYAML reads.
func (t *Table) YAML() ([]byte, error) {
	data, err := yaml.Marshal(t)
	return data, errors.Wrap(err, "table: write YAML")
}
