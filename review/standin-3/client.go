package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is the session of one client.
type client struct {
	rec  *record
	name string
	conn net.Conn
	in   *bufio.Reader
}

// reply is the answer to one request.
type reply struct {
	rows    []string
	receipt string // of COMPLETE
	failure string // of ERROR
	state   string // of READY
}

func (r reply) ok() bool { return r.failure == "" && r.receipt != "" }

func (r reply) String() string {
	if r.failure != "" {
		return "ERROR " + r.failure + " READY " + r.state
	}
	return fmt.Sprintf("%d rows COMPLETE %s READY %s", len(r.rows), r.receipt, r.state)
}

// connect starts a session on a route.
func connect(rec *record, name, address, route, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, name: name, conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", route, key); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) line() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends a request and waits for its answer.
func (c *client) query(id, text string) (reply, error) {
	shown := text
	if len(shown) > 80 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:40], len(text))
	}
	c.rec.logf("%s sends %s %s", c.name, id, shown)
	r, err := c.exchange(id, text)
	if err != nil {
		c.rec.logf("%s gets no whole answer to %s: %v", c.name, id, err)
	} else {
		c.rec.logf("%s gets the answer to %s: %s", c.name, id, r)
	}
	return r, err
}

func (c *client) exchange(id, text string) (r reply, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return r, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.receipt = rest
		case "ERROR":
			r.failure = rest
		case "READY":
			r.state = rest
			return r, nil
		}
	}
}

func (c *client) close() {
	_, _ = c.conn.Write([]byte("TERMINATE\r\n"))
	_ = c.conn.Close()
}
