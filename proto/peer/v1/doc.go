// Package peerv1 holds the messages that cassiatray processes exchange. All of
// it but this file is generated from peer.proto by make generate.
package peerv1
