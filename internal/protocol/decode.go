package protocol

import (
	"fmt"
	"math/big"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

// Decode decodes JSON. Unknown fields are ignored, also those whose names differ from known ones only by case. An integer
// may be written in any form of a whole number, such as 8.0 or 8e0.
func Decode(data []byte, v any) error {
	err := decodeExactNames(data, v)
	if err == nil {
		return nil
	}
	if plain, changed := plainIntegers(data); changed {
		return decodeExactNames(plain, v)
	}
	return err
}

// decodeExactNames decodes JSON like json.Unmarshal, but matches the names of fields exactly.
func decodeExactNames(data []byte, v any) error {
	rest, err := json.Parse(data, v, json.DontMatchCaseInsensitiveStructFields)
	if err == nil && len(rest) > 0 {
		return fmt.Errorf("invalid character %q after the JSON value", rest[0])
	}
	return err
}

// plainIntegers rewrites the numbers of a JSON value that are whole as plain digits, and reports whether any changed.
func plainIntegers(data []byte) (plain []byte, changed bool) {
	plain = make([]byte, 0, len(data))
	for i := 0; i < len(data); {
		length := tokenLength(data[i:])
		token := data[i : i+length]
		if digits, whole := wholeNumber(string(token)); whole {
			token, changed = []byte(digits), true
		}
		plain = append(plain, token...)
		i += length
	}
	return plain, changed
}

// tokenLength returns the length of the string or number that data begins with, and 1 if it begins with neither.
func tokenLength(data []byte) int {
	if data[0] == '"' {
		for i := 1; i < len(data); i++ {
			switch data[i] {
			case '\\':
				i++
			case '"':
				return i + 1
			}
		}
		return len(data)
	}
	i := 0
	for i < len(data) && strings.IndexByte("+-.0123456789eE", data[i]) >= 0 {
		i++
	}
	return max(i, 1)
}

// Bounds on the numbers that wholeNumber rewrites. All integers of the messages are below 2^64.
const (
	maxNumberLength = 64
	maxExponent     = 40
)

// wholeNumber returns the plain digits of a number that is written with a fraction or an exponent but is whole.
func wholeNumber(token string) (digits string, whole bool) {
	if len(token) > maxNumberLength || !strings.ContainsAny(token, ".eE") || !strings.ContainsAny(token, "0123456789") {
		return "", false
	}
	if _, exponent, found := strings.Cut(strings.ToLower(token), "e"); found {
		if e, err := strconv.Atoi(exponent); err != nil || e < -maxExponent || e > maxExponent {
			return "", false
		}
	}
	value, ok := new(big.Rat).SetString(token)
	if !ok || !value.IsInt() {
		return "", false
	}
	return value.Num().String(), true
}
