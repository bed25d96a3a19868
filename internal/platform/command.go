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
const maxValueBytes = 64 << 10

var commandLimits = resp.Limits{MaxLineBytes: 64, MaxBulkBytes: maxValueBytes, MaxValues: 16, MaxDepth: 1, MaxMessageBytes: maxValueBytes + 4096}

// command is one transaction as a client wrote it.
type command struct {
	transaction wire.Ask
	requestID   []byte
}

// parse reads a transaction's command. What is wrong with it is told in a line.
func (config *Config) parseCommand(message []resp.Value, payload []byte) (c command, problem string) {
	if n := len(message) - 1; n != 4 && n != 5 { // the array itself stands first
		return c, "found " + strconv.Itoa(n) + " words, expected a command, key, id, facts and a body or none"
	}
	isAsk := string(message[1].Text) == "Q.ASK"
	c.requestID = message[3].Text
	if len(c.requestID) == 0 || len(c.requestID) > 128 || len(message[2].Text) > 1024 {
		return c, "found no id that can be one, expected up to 128 bytes, and up to 1024 of a key"
	}
	fields := message[4].Text
	profile, timeoutStart, timeoutEnd, hasToken := logic.ProfileID(-1), -1, -1, false
	var seen [256]bool
	for offset := 0; offset <= len(fields); {
		end := bytes.IndexByte(fields[offset:], ',')
		if end < 0 {
			end = len(fields) - offset
		}
		field := fields[offset : offset+end]
		if len(field) < 2 || field[1] != '=' || seen[field[0]] {
			return c, "found facts that can't be read, expected names and values, each name once"
		}
		seen[field[0]] = true
		value := field[2:]
		switch field[0] {
		case 'c':
			id, known := config.names.Profiles[string(value)]
			if !known {
				return c, "found a class that there is not, expected one of the settings"
			}
			profile = id
		case 't':
			id, known := config.names.Accounts[string(value)]
			if !known {
				return c, "found a tenant that there is not, expected one of the settings"
			}
			c.transaction.Account = uint32(id) + 1
		case 'd':
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || ms == 0 {
				return c, "found no time to wait, expected milliseconds"
			}
			c.transaction.Timeout = ms * 1000
			timeoutStart, timeoutEnd = offset+2, offset+end
		case 'k':
			hasToken = len(value) > 0
		case 'r':
			c.transaction.Retry = string(value) == "1"
		}
		offset += end + 1
	}
	if profile < 0 || timeoutStart < 0 {
		return c, "found no class or no time to wait, expected both"
	}
	repeat := config.Settings.Policy.Profiles[profile].Repeatability
	switch {
	case isAsk != (repeat == logic.Idempotent):
		return c, "found a command that does not serve this class, expected Q.ASK for those safe to repeat, else Q.DO"
	case hasToken != (repeat == logic.Deduplicated):
		return c, "found a mark where none belongs or none where one does, expected k in keyed classes alone"
	}
	c.transaction.Profile, c.transaction.Key = uint32(profile), message[2].Text
	c.transaction.Payload = packCommand(payload, message, timeoutStart, timeoutEnd)
	return c, ""
}

// pack keeps a command so that it can be written again with another time to wait: the facts before and after that time,
// each with its length, how long what comes before the facts is, that, and what comes after them.
func packCommand(dst []byte, message []resp.Value, timeoutStart, timeoutEnd int) []byte {
	fields := message[4].Text
	for _, part := range [][]byte{fields[:timeoutStart], fields[timeoutEnd:]} {
		dst = append(binary.AppendUvarint(dst, uint64(len(part))), part...)
	}
	prefixStart := len(dst)
	dst = resp.AppendArrayHeader(append(dst, 0, 0), message[0].ArrayLen) // at most some kilobytes: words, a key and an id
	for _, value := range message[1:4] {
		dst = resp.AppendBulkString(dst, value.Text)
	}
	binary.BigEndian.PutUint16(dst[prefixStart:], uint16(len(dst)-prefixStart-2))
	for _, value := range message[5:] {
		dst = resp.AppendBulkString(dst, value.Text)
	}
	return dst
}

// unpack writes a command again, with the time that the sentry will wait.
func appendCommand(dst, packed []byte, timeout logic.Micros) []byte {
	var fields [2][]byte
	for i := range fields {
		n, size := binary.Uvarint(packed)
		fields[i], packed = packed[size:size+int(n)], packed[size+int(n):]
	}
	prefixEnd := 2 + int(binary.BigEndian.Uint16(packed))
	dst = append(dst, packed[2:prefixEnd]...)
	var digits [20]byte
	ms := strconv.AppendInt(digits[:0], max(1, int64(timeout)/1000), 10)
	dst = append(strconv.AppendInt(append(dst, '$'), int64(len(fields[0])+len(ms)+len(fields[1])), 10), '\r', '\n')
	dst = append(append(append(append(dst, fields[0]...), ms...), fields[1]...), '\r', '\n')
	return append(dst, packed[prefixEnd:]...)
}
