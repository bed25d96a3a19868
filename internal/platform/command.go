package platform

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"scalechute/internal/resp"
	"scalechute/internal/wire"
	"scalechute/logic"
)

// maxValueBytes bounds the body of a command.
const maxValueBytes = 64 << 10

// commandLimits bounds the commands of clients.
var commandLimits = resp.Limits{MaxLineBytes: 64, MaxBulkBytes: maxValueBytes, MaxValues: 16, MaxDepth: 1,
	MaxMessageBytes: maxValueBytes + 4096}

// command is a client's Q.ASK or Q.DO command, parsed.
type command struct {
	transaction wire.Ask
	requestID   []byte
}

// parseCommand parses a Q.ASK or Q.DO command. The payload of the returned transaction is payload followed by the packed
// command (see packCommand). problem describes an invalid command in one line, as the client gets it; it is empty for a
// valid one.
func (c *Config) parseCommand(message []resp.Value, payload []byte) (cmd command, problem string) {
	if n := len(message) - 1; n != 4 && n != 5 { // message[0] is the array itself
		return cmd, "found " + strconv.Itoa(n) + " words, expected a command, key, id, facts and a body or none"
	}
	isAsk := string(message[1].Text) == "Q.ASK"
	cmd.requestID = message[3].Text
	if len(cmd.requestID) == 0 || len(cmd.requestID) > 128 || len(message[2].Text) > 1024 {
		return cmd, "found no id that can be one, expected up to 128 bytes, and up to 1024 of a key"
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
			return cmd, "found facts that can't be read, expected names and values, each name once"
		}
		seen[field[0]] = true
		value := field[2:]
		switch field[0] {
		case 'c':
			id, known := c.names.Profiles[string(value)]
			if !known {
				return cmd, "found a class that there is not, expected one of the settings"
			}
			profile = id
		case 't':
			id, known := c.names.Accounts[string(value)]
			if !known {
				return cmd, "found a tenant that there is not, expected one of the settings"
			}
			cmd.transaction.Account = uint32(id) + 1
		case 'd':
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || ms == 0 {
				return cmd, "found no time to wait, expected milliseconds"
			}
			cmd.transaction.Timeout = ms * 1000
			timeoutStart, timeoutEnd = offset+2, offset+end
		case 'k':
			hasToken = len(value) > 0
		case 'r':
			cmd.transaction.Retry = string(value) == "1"
		}
		offset += end + 1
	}
	if profile < 0 || timeoutStart < 0 {
		return cmd, "found no class or no time to wait, expected both"
	}
	repeatability := c.Settings.Policy.Profiles[profile].Repeatability
	switch {
	case isAsk != (repeatability == logic.Idempotent):
		return cmd, "found a command that does not serve this class, expected Q.ASK for those safe to repeat, else Q.DO"
	case hasToken != (repeatability == logic.Deduplicated):
		return cmd, "found a mark where none belongs or none where one does, expected k in keyed classes alone"
	}
	cmd.transaction.Profile, cmd.transaction.Key = uint32(profile), message[2].Text
	cmd.transaction.Payload = packCommand(payload, message, timeoutStart, timeoutEnd)
	return cmd, ""
}

// packCommand appends a command to dst in a form from which appendCommand can write it with another timeout. The fields
// are the command's fourth word (the facts), and the timeout is the part of them from timeoutStart to timeoutEnd. The
// form is:
//
//   - the fields before the timeout, and those after it, each preceded by its length as a uvarint
//   - the length of the encoded command before the fields, in 2 bytes, and that part of the command
//   - the encoded command after the fields
func packCommand(dst []byte, message []resp.Value, timeoutStart, timeoutEnd int) []byte {
	fields := message[4].Text
	for _, part := range [][]byte{fields[:timeoutStart], fields[timeoutEnd:]} {
		dst = append(binary.AppendUvarint(dst, uint64(len(part))), part...)
	}
	prefixStart := len(dst)
	dst = resp.AppendArrayHeader(append(dst, 0, 0), message[0].ArrayLen) // under 64 KiB, since key and id are bounded
	for _, value := range message[1:4] {
		dst = resp.AppendBulkString(dst, value.Text)
	}
	binary.BigEndian.PutUint16(dst[prefixStart:], uint16(len(dst)-prefixStart-2))
	for _, value := range message[5:] {
		dst = resp.AppendBulkString(dst, value.Text)
	}
	return dst
}

// appendCommand appends a packed command to dst, with the time that the sentry waits for the answer as its timeout.
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
