package platform

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"scalechute/internal/resp"
	"scalechute/internal/wire"
	"scalechute/logic"
)

// mostValue is the greatest value, in bytes.
const mostValue = 64 << 10

var commandBounds = resp.Limits{MaxLineBytes: 64, MaxBulkBytes: mostValue, MaxValues: 16, MaxDepth: 1, MaxMessageBytes: mostValue + 4096}

// command is one transaction as a client wrote it.
type command struct {
	ask wire.Ask
	id  []byte
}

// parse reads a transaction's command. What is wrong with it is told in a line.
func (p *Config) parse(m []resp.Value, payload []byte) (c command, wrong string) {
	if n := len(m) - 1; n != 4 && n != 5 { // the array itself stands first
		return c, "found " + strconv.Itoa(n) + " words, expected a command, key, id, facts and a body or none"
	}
	safe := string(m[1].Text) == "Q.ASK"
	c.id = m[3].Text
	if len(c.id) == 0 || len(c.id) > 128 || len(m[2].Text) > 1024 {
		return c, "found no id that can be one, expected up to 128 bytes, and up to 1024 of a key"
	}
	facts := m[4].Text
	profile, from, to, marked := logic.ProfileID(-1), -1, -1, false
	var seen [256]bool
	for at := 0; at <= len(facts); {
		end := bytes.IndexByte(facts[at:], ',')
		if end < 0 {
			end = len(facts) - at
		}
		field := facts[at : at+end]
		if len(field) < 2 || field[1] != '=' || seen[field[0]] {
			return c, "found facts that can't be read, expected names and values, each name once"
		}
		seen[field[0]] = true
		value := field[2:]
		switch field[0] {
		case 'c':
			id, known := p.names.Profiles[string(value)]
			if !known {
				return c, "found a class that there is not, expected one of the settings"
			}
			profile = id
		case 't':
			id, known := p.names.Accounts[string(value)]
			if !known {
				return c, "found a tenant that there is not, expected one of the settings"
			}
			c.ask.Account = uint32(id) + 1
		case 'd':
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || ms == 0 {
				return c, "found no time to wait, expected milliseconds"
			}
			c.ask.Timeout = ms * 1000
			from, to = at+2, at+end
		case 'k':
			marked = len(value) > 0
		case 'r':
			c.ask.Retry = string(value) == "1"
		}
		at += end + 1
	}
	if profile < 0 || from < 0 {
		return c, "found no class or no time to wait, expected both"
	}
	repeat := p.Settings.Policy.Profiles[profile].Repeatability
	switch {
	case safe != (repeat == logic.Idempotent):
		return c, "found a command that does not serve this class, expected Q.ASK for those safe to repeat, else Q.DO"
	case marked != (repeat == logic.Deduplicated):
		return c, "found a mark where none belongs or none where one does, expected k in keyed classes alone"
	}
	c.ask.Profile, c.ask.Key = uint32(profile), m[2].Text
	c.ask.Payload = pack(payload, m, from, to)
	return c, ""
}

// pack keeps a command so that it can be written again with another time to wait: the facts before and after that time,
// each with its length, how long what comes before the facts is, that, and what comes after them.
func pack(to []byte, m []resp.Value, from, till int) []byte {
	facts := m[4].Text
	for _, part := range [][]byte{facts[:from], facts[till:]} {
		to = append(binary.AppendUvarint(to, uint64(len(part))), part...)
	}
	at := len(to)
	to = resp.AppendArrayHeader(append(to, 0, 0), m[0].ArrayLen) // at most some kilobytes: words, a key and an id
	for _, v := range m[1:4] {
		to = resp.AppendBulkString(to, v.Text)
	}
	binary.BigEndian.PutUint16(to[at:], uint16(len(to)-at-2))
	for _, v := range m[5:] {
		to = resp.AppendBulkString(to, v.Text)
	}
	return to
}

// unpack writes a command again, with the time that the sentry will wait.
func unpack(to, payload []byte, left logic.Micros) []byte {
	var facts [2][]byte
	for i := range facts {
		n, size := binary.Uvarint(payload)
		facts[i], payload = payload[size:size+int(n)], payload[size+int(n):]
	}
	head := 2 + int(binary.BigEndian.Uint16(payload))
	to = append(to, payload[2:head]...)
	var digits [20]byte
	ms := strconv.AppendInt(digits[:0], max(1, int64(left)/1000), 10)
	to = append(strconv.AppendInt(append(to, '$'), int64(len(facts[0])+len(ms)+len(facts[1])), 10), '\r', '\n')
	to = append(append(append(append(to, facts[0]...), ms...), facts[1]...), '\r', '\n')
	return append(to, payload[head:]...)
}
