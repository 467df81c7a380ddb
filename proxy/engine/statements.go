package engine

// statementSet holds the prepared statements of one session by name, and the total size of their text.
type statementSet struct {
	byName map[string]*prepared
	size   int // bytes of SQL text
}

// full reports whether a statement of size bytes would exceed a limit.
func (s *statementSet) full(c *Config, size int) bool {
	return len(s.byName) >= c.MaxPreparedStatements || s.size+size > c.MaxPreparedSize
}

func (s *statementSet) get(name string) *prepared {
	return s.byName[name]
}

func (s *statementSet) put(name string, p *prepared) {
	s.remove(name)
	if s.byName == nil {
		s.byName = make(map[string]*prepared)
	}
	s.byName[name] = p
	s.size += len(p.sql)
}

func (s *statementSet) remove(name string) {
	p := s.byName[name]
	if p == nil {
		return
	}
	delete(s.byName, name)
	s.size -= len(p.sql)
}
