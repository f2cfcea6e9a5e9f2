// Package config stores the operators' configuration: a log of accepted changes in
// the platform's store, and on each entry instance a follower that keeps the newest
// revision it has received.
//
// A change is accepted at the moment when its log entry is created. Revisions are
// created without gaps, so a follower that applies them in order never reverts.
package config
