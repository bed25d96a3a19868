// Package pb holds the messages of scalechute's protocol, generated from scalechute.proto.
package pb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative scalechute.proto
