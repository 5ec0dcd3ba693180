package table

import (
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
)

// ParseYAML decodes and checks a table. The error lists every problem with its
// line and column and matches ErrInvalid.
func ParseYAML(data []byte) (*Table, error) {
	t := &Table{}
	if err := document.Decode(data, t); err != nil {
		return nil, err
	}
	return t, nil
}

// YAML returns t as a YAML document that ParseYAML accepts.
func (t *Table) YAML() ([]byte, error) {
	data, err := yaml.Marshal(t)
	return data, errors.Wrap(err, "table: write YAML")
}
