package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// reply is what a client was answered: an array or bulk string by its text, any other reply by its line.
type reply struct {
	text   string
	served bool
}

// refused reports whether the reply is a refusal.
func (r reply) refused() bool { return strings.HasPrefix(r.text, "-BUSY") }

// encode returns a command in RESP2.
func encode(words ...string) []byte {
	text := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(w), w)
	}
	return text
}

// client is a connection of a client to the sentry.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// do sends a command and waits for its reply.
func (c *client) do(wait time.Duration, words ...string) (reply, error) {
	if _, err := c.conn.Write(encode(words...)); err != nil {
		return reply{}, err
	}
	return c.read(wait)
}

// read reads one reply.
func (c *client) read(wait time.Duration) (reply, error) {
	c.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := readLine(c.in)
	if err != nil {
		return reply{}, err
	}
	if line == "" || line[0] != '$' {
		return reply{text: line}, nil
	}
	text, err := readBulk(c.in, line)
	return reply{text, err == nil}, err
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func readBulk(in *bufio.Reader, line string) (string, error) {
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return "", errors.New("bad length " + line)
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(in, text)
	return string(text[:n]), err
}

// readCommand reads one command.
func readCommand(in *bufio.Reader) (words []string, err error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if line == "" || line[0] != '*' {
		return nil, errors.New("bad command " + line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		return nil, err
	}
	for range n {
		if line, err = readLine(in); err != nil {
			return nil, err
		}
		word, err := readBulk(in, line)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// request is a command as a server gets it.
type request struct {
	class, key, id, token string
	waitMS                int
	at                    time.Duration // when its last byte had come
}

// parseRequest parses a command's words.
func parseRequest(words []string) (q request, ok bool) {
	if len(words) < 5 || words[0] != "Q.ASK" && words[0] != "Q.DO" {
		return q, false
	}
	q.key, q.id = words[1], words[2]
	for _, fact := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(fact, "=")
		switch name {
		case "c":
			q.class = value
		case "k":
			q.token = value
		case "d":
			q.waitMS, _ = strconv.Atoi(value)
		}
	}
	return q, true
}
