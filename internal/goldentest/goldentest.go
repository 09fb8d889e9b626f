// Package goldentest compares encoded values with golden files in testdata/golden. Messages between controllers,
// answers to agents and users, and data in the state service and on disk are read by processes of other versions than
// the one that wrote them: renaming a Go identifier must not change the encoding, and what an earlier version wrote
// must remain readable. Encodings may only be extended: rewrite a golden file only for an added field or kind, with
// `go test -run Golden -update`.
package goldentest

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"topazhollow/internal/protocol"
)

var update = flag.Bool("update", false, "rewrite the golden files instead of comparing with them")

// directory is where a package keeps its golden files.
var directory = filepath.Join("testdata", "golden")

// Case is a value and the name of its golden file.
type Case struct {
	Name  string
	Value any // not a pointer
	// Full requires that every field is set at every depth, and Check verifies it. A zero field may be omitted from the
	// golden file, which then does not pin its name.
	Full bool
}

// Form is an encoding of values.
type Form struct {
	Encode func(value any) ([]byte, error) // receives a pointer to the value
	Decode func(data []byte, into any) error
}

// Wire is the encoding of the protocol's messages and of most other data.
var Wire = Form{
	Encode: func(value any) ([]byte, error) { return protocol.Encode(value), nil },
	Decode: protocol.Decode,
}

// Check compares the encoding of each value with its golden file, and checks that decoding the file and encoding the
// result gives the same bytes. The encoding must be deterministic.
func (f Form) Check(t *testing.T, cases []Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Helper()
			if c.Full {
				AllSet(t, c.Value)
			}
			value := reflect.New(reflect.TypeOf(c.Value))
			value.Elem().Set(reflect.ValueOf(c.Value))
			got, err := f.Encode(value.Interface())
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			want := Bytes(t, c.Name, got)
			read := reflect.New(reflect.TypeOf(c.Value))
			if err := f.Decode(want, read.Interface()); err != nil {
				t.Fatalf("decode the golden file: %v", err)
			}
			again, err := f.Encode(read.Interface())
			if err != nil {
				t.Fatalf("encode the decoded value: %v", err)
			}
			if !bytes.Equal(again, want) {
				t.Errorf("decoded and encoded again:\n%q\nwant\n%q", again, want)
			}
		})
	}
}

// CheckEarlier checks that decoding a golden file gives a value, not a pointer. The file holds the encoding of an earlier
// version, and -update doesn't rewrite it.
func (f Form) CheckEarlier(t *testing.T, name string, want any) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := f.Decode(Read(t, name), got.Interface()); err != nil {
		t.Fatalf("decode %s: %v", name, err)
	}
	if !reflect.DeepEqual(got.Elem().Interface(), want) {
		t.Errorf("%s decoded:\n%+v\nwant\n%+v", name, got.Elem(), want)
	}
}

// Bytes compares bytes with a golden file and returns the file's content.
func Bytes(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	want := Sample(t, name, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%q\nwant\n%q", filepath.Join(directory, name), got, want)
	}
	return want
}

// Sample returns the content of a golden file without comparing it, for data that has several valid encodings and only
// needs to be decoded. With -update it first writes the current encoding to the file.
func Sample(t testing.TB, name string, current []byte) []byte {
	t.Helper()
	if *update {
		if err := os.MkdirAll(directory, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(directory, name), current, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return Read(t, name)
}

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// AllSet fails the test if an exported field of the value is zero, at any depth.
func AllSet(t testing.TB, value any) {
	t.Helper()
	for _, path := range unset(reflect.ValueOf(value), reflect.TypeOf(value).Name()) {
		t.Errorf("%s is not set", path)
	}
}

// unset returns the paths of a value's exported zero fields.
func unset(v reflect.Value, path string) (paths []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			paths = unset(v.Elem(), path)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			paths = append(paths, unset(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			paths = append(paths, unset(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() && !field.Anonymous {
				continue
			}
			name := path + "." + field.Name
			if empty(v.Field(i)) {
				paths = append(paths, name)
				continue
			}
			paths = append(paths, unset(v.Field(i), name)...)
		}
	}
	return paths
}

// empty reports whether a value is zero or has no elements.
func empty(v reflect.Value) bool {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}

// Submission returns a job submission with every field set.
func Submission() *protocol.Submission {
	zone, deadline := "a", 900.5
	return &protocol.Submission{UID: "job-000412", Class: "train", Team: "vision", Kind: protocol.Gang, Priority: "high", Tasks: 16,
		CPUs: 8, GPUs: 1.5, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "g4"}, Zone: &zone, OneZone: true, Spread: true,
		Spot: true, EstimateSeconds: 240, CheckpointEverySeconds: 30, CheckpointSeconds: 4, DeadlineSeconds: &deadline, Dependencies: []string{"job-000398", "job-000405"}}
}
