// Package config keeps the operators' configuration: the log of accepted changes
// in the platform's store, and on each entry instance a follower that holds the
// newest revision known.
//
// A change is accepted at the moment when its log entry is created. Revisions are
// created without gaps, so a follower that applies them in order never goes back.
package config
