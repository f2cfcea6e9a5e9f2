package object

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxPercent is the largest percentage of an Amount.
const MaxPercent = 100

// String returns "3" or "25%".
func (a Amount) String() string {
	if a.Percent {
		return strconv.Itoa(a.Value) + "%"
	}
	return strconv.Itoa(a.Value)
}

// Of returns the amount for the given total. A percentage is rounded up if roundUp is
// set, otherwise down.
func (a Amount) Of(total int, roundUp bool) int {
	if !a.Percent {
		return a.Value
	}
	product := a.Value * total
	if roundUp {
		product += MaxPercent - 1
	}
	return product / MaxPercent
}

// MarshalJSON writes 3 or "25%".
func (a Amount) MarshalJSON() ([]byte, error) {
	if a.Percent {
		return json.Marshal(a.String())
	}
	return json.Marshal(a.Value)
}

// UnmarshalJSON reads 3 or "25%". It returns an error for a negative amount and for
// more than 100%.
func (a *Amount) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	digits, percent := strings.CutSuffix(text, "%")
	value, err := strconv.Atoi(digits)
	if err != nil || value < 0 || (percent && value > MaxPercent) {
		return fmt.Errorf("amount %s: want a count such as 3 or a percentage such as \"25%%\"", data)
	}
	*a = Amount{Value: value, Percent: percent}
	return nil
}
