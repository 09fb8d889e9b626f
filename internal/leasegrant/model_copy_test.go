package leasegrant_test

import (
	"math/bits"
	"reflect"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// The model contains real types of several packages, with unexported fields. deepCopy and digest access these by
// reflection, so that a state can be kept, continued in several ways and compared.

var timeType = reflect.TypeFor[time.Time]()

// settable makes an unexported field readable and settable.
func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// isPlain reports whether values of a type share nothing with their copies.
func isPlain(t reflect.Type) bool {
	if known, ok := isPlainByType.Load(t); ok {
		return known.(bool)
	}
	is := false
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface, reflect.Chan:
	case reflect.Array:
		is = isPlain(t.Elem())
	case reflect.Struct:
		is = t == timeType
		if !is {
			is = true
			for i := range t.NumField() {
				is = is && isPlain(t.Field(i).Type)
			}
		}
	default:
		is = true // functions hold no state of the model
	}
	isPlainByType.Store(t, is)
	return is
}

var isPlainByType sync.Map

// deepCopy returns a deep copy of a world. What several pointers refer to is copied once.
func deepCopy(w *world) *world {
	out := new(world)
	*out = *w
	cloneContents(reflect.ValueOf(out).Elem(), map[unsafe.Pointer]reflect.Value{})
	return out
}

func cloneContents(v reflect.Value, seen map[unsafe.Pointer]reflect.Value) {
	if isPlain(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); !isPlain(f.Type()) {
				cloneContents(settable(f), seen)
			}
		}
	case reflect.Pointer:
		if v.IsNil() {
			return
		}
		if made, ok := seen[v.UnsafePointer()]; ok {
			v.Set(made)
			return
		}
		fresh := reflect.New(v.Type().Elem())
		seen[v.UnsafePointer()] = fresh
		fresh.Elem().Set(v.Elem())
		v.Set(fresh)
		cloneContents(fresh.Elem(), seen)
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		fresh := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(fresh, v)
		v.Set(fresh)
		if !isPlain(v.Type().Elem()) {
			for i := range v.Len() {
				cloneContents(v.Index(i), seen)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			cloneContents(v.Index(i), seen)
		}
	case reflect.Map:
		if v.IsNil() {
			return
		}
		fresh := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			key.Set(it.Key())
			value.Set(it.Value())
			cloneContents(key, seen)
			cloneContents(value, seen)
			fresh.SetMapIndex(key, value)
		}
		v.Set(fresh)
	default:
		panic("model: no copy of " + v.Type().String())
	}
}

const prime = 0x9e3779b97f4a7c15

// mix combines a hash with a further value.
func mix(h, x uint64) uint64 {
	hi, lo := bits.Mul64(h^x^prime, 0xd6e8feb86659fd93)
	return hi ^ lo + prime
}

// digest returns a hash of a state. Times are hashed relative to now, and all times longer ago than a minute are equal,
// so that states that differ only in these count as the same.
func digest(w *world) uint64 {
	fresh := *w
	return hash(reflect.ValueOf(&fresh).Elem(), w.now)
}

func hash(v reflect.Value, now time.Time) uint64 {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return 3
		}
		return 2
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return mix(5, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return mix(7, v.Uint())
	case reflect.Float32, reflect.Float64:
		return mix(11, uint64(v.Float()*1000))
	case reflect.String:
		return xxhash.Sum64String(v.String())
	case reflect.Struct:
		if v.Type() == timeType {
			at := v.Interface().(time.Time)
			if at.IsZero() {
				return 13
			}
			return mix(17, uint64(max(at.Sub(now), -time.Minute)))
		}
		h := uint64(19)
		for i := range v.NumField() {
			h = mix(h, hash(settable(v.Field(i)), now))
		}
		return h
	case reflect.Pointer:
		if v.IsNil() {
			return 23
		}
		return hash(v.Elem(), now)
	case reflect.Slice, reflect.Array:
		h := mix(29, uint64(v.Len()))
		for i := range v.Len() {
			h = mix(h, hash(v.Index(i), now))
		}
		return h
	case reflect.Map:
		h := uint64(31)
		for it := v.MapRange(); it.Next(); {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			key.Set(it.Key())
			value.Set(it.Value())
			h += mix(hash(key, now), hash(value, now)) // independent of the iteration order
		}
		return h
	}
	return 37 // all functions are treated as equal
}
