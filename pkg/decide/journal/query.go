package journal

// Last returns the last position that is committed.
func (m *Machine) Last() Position {
	return m.last
}

// Open reports whether this owner holds the journal as far as it knows.
func (m *Machine) Open() bool {
	return m.stage != closed && !m.takeover
}
