package statement

import "strings"

// set classifies SET. The proxy handles session settings itself and forwards settings of one
// transaction to the server.
func (p *parser) set() Class {
	p.advance()
	switch p.word {
	case "constraints":
		return p.consumeRest(Class{Kind: InTransaction})
	case "local":
		return p.setLocal()
	case "transaction":
		return p.setTransaction()
	case "role", "authorization":
		return p.refuse(refusedSessionRole)
	case "session":
		p.advance()
	}
	if p.word == "characteristics" {
		return p.refuse(refusedCharacteristics)
	}
	if p.word == "authorization" || p.word == "role" {
		return p.refuse(refusedSessionRole)
	}
	return p.assignment()
}

func (p *parser) setLocal() Class {
	p.advance()
	if p.settingName() == "transaction_read_only" {
		return p.refuse(refusedReadOnlySetting)
	}
	return p.consumeRest(Class{Kind: InTransaction})
}

func (p *parser) setTransaction() Class {
	mode := p.access()
	return Class{Kind: InTransaction, Access: mode}
}

func (p *parser) assignment() Class {
	c := Class{Kind: Setting, Name: p.settingName()}
	switch {
	case c.Name == "names":
		c.Name = "client_encoding"
	case c.Name == "time" && p.word == "zone":
		c.Name = "timezone"
		p.advance()
	case p.isSymbol('=') || p.word == "to":
		p.advance()
	}
	c.Reset = p.word == "default"
	c.Value = p.settingValue()
	if c.Reset {
		c.Value = ""
	}
	return c
}

func (p *parser) show() Class {
	p.advance()
	return p.consumeRest(Class{Kind: Read, Name: p.settingName()})
}

// settingName parses a parameter name, which may be qualified, and returns it in lower case.
func (p *parser) settingName() string {
	start := p.tok.start
	end := start
	for isName(p.tok.kind) {
		end = p.tok.end
		p.advance()
		if !p.isSymbol('.') {
			break
		}
		p.advance()
	}
	name := p.sql[start:end]
	return strings.ToLower(strings.ReplaceAll(name, `"`, ""))
}

// settingValue returns the rest of the statement. A single constant is returned without its quotes.
func (p *parser) settingValue() string {
	if p.atEnd() {
		return ""
	}
	start, first := p.tok.start, p.text()
	p.advance()
	if p.atEnd() {
		return unquote(first)
	}
	for !p.atEnd() {
		p.advance()
	}
	return p.sql[start:p.end]
}

func (p *parser) reset() Class {
	p.advance()
	if p.word == "role" || p.word == "session" {
		return p.refuse(refusedSessionRole)
	}
	c := Class{Kind: Setting, Reset: true, Name: p.settingName()}
	return p.consumeRest(c)
}

func (p *parser) discard(first string) Class {
	p.advance()
	if p.word == "prepare" {
		p.advance()
	}
	c := Class{Kind: Discard, Name: first}
	if !p.atEnd() && first == "deallocate" {
		c.Value = unquote(p.text())
		if p.tok.kind == tokenWord {
			c.Value = strings.ToLower(p.text())
		}
	}
	return p.consumeRest(c)
}
