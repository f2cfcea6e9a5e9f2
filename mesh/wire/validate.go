package wire

import (
	"errors"
	"fmt"
)

func validate(message Message) error {
	switch m := message.(type) {
	case *Heartbeat:
		return checkLimit("summary", len(m.Summary), MaxSummaryBytes)
	case *Hello:
		return validateRecord(m.Record)
	case *Leave:
		return validateRecord(m.Record)
	case *Members:
		return validateRecords(m.Records)
	case *MemberDigest:
		return validateMemberDigest(m)
	case *Digest:
		return validateDigest(m)
	case *Pull:
		return validateName("stream", string(m.Stream))
	case *Documents:
		return validateDocuments(m)
	case *Request:
		return validateName("method", m.Method)
	default:
		return nil
	}
}

func validateRecords(records []Record) error {
	if err := checkLimit("records", len(records), MaxMembers); err != nil {
		return err
	}
	for _, record := range records {
		if err := validateRecord(record); err != nil {
			return err
		}
	}
	return nil
}

func validateRecord(record Record) error {
	err := errors.Join(
		validateName("instance", string(record.ID)),
		validateName("availability zone", string(record.Zone)),
		validateName("address", record.Address),
		checkLimit("peers in HeartbeatsFrom", len(record.HeartbeatsFrom), MaxMembers),
	)
	if err != nil {
		return err
	}
	for _, peer := range record.HeartbeatsFrom {
		if err := validateName("peer in HeartbeatsFrom", string(peer)); err != nil {
			return err
		}
	}
	return nil
}

func validateMemberDigest(digest *MemberDigest) error {
	if err := checkLimit("members", len(digest.Versions), MaxMembers); err != nil {
		return err
	}
	for _, version := range digest.Versions {
		if err := validateName("instance", string(version.ID)); err != nil {
			return err
		}
	}
	return nil
}

func validateDigest(digest *Digest) error {
	for _, version := range digest.Versions {
		if err := validateName("stream", string(version.Stream)); err != nil {
			return err
		}
	}
	return nil
}

func validateDocuments(documents *Documents) error {
	for _, document := range documents.Documents {
		if err := validateName("stream", string(document.Stream)); err != nil {
			return err
		}
	}
	return nil
}

func validateName(what, name string) error {
	if name == "" {
		return fmt.Errorf("%s is empty", what)
	}
	return checkLimit(what, len(name), MaxNameBytes)
}

func checkLimit(what string, n, limit int) error {
	if n > limit {
		return fmt.Errorf("%s: %d exceeds the limit of %d", what, n, limit)
	}
	return nil
}
