package leasegrant_test

import (
	"math/bits"
	"reflect"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// The model holds the real types of several packages, with their unexported fields. copied and digest read them by
// reflection, so that a state can be kept, continued in several ways and compared.

var timeType = reflect.TypeFor[time.Time]()

// open makes a field readable and settable though it is not exported.
func open(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// plain says whether a type holds nothing that two copies would share.
func plain(t reflect.Type) bool {
	if known, ok := plainTypes.Load(t); ok {
		return known.(bool)
	}
	is := false
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface, reflect.Chan:
	case reflect.Array:
		is = plain(t.Elem())
	case reflect.Struct:
		is = t == timeType
		if !is {
			is = true
			for i := range t.NumField() {
				is = is && plain(t.Field(i).Type)
			}
		}
	default:
		is = true // functions hold nothing of the model's
	}
	plainTypes.Store(t, is)
	return is
}

var plainTypes sync.Map

// copied is a deep copy; what is pointed to twice is copied once.
func copied(w *world) *world {
	out := new(world)
	*out = *w
	deepen(reflect.ValueOf(out).Elem(), map[unsafe.Pointer]reflect.Value{})
	return out
}

func deepen(v reflect.Value, seen map[unsafe.Pointer]reflect.Value) {
	if plain(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); !plain(f.Type()) {
				deepen(open(f), seen)
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
		deepen(fresh.Elem(), seen)
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		fresh := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(fresh, v)
		v.Set(fresh)
		if !plain(v.Type().Elem()) {
			for i := range v.Len() {
				deepen(v.Index(i), seen)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			deepen(v.Index(i), seen)
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
			deepen(key, seen)
			deepen(value, seen)
			fresh.SetMapIndex(key, value)
		}
		v.Set(fresh)
	default:
		panic("model: no copy of " + v.Type().String())
	}
}

const prime = 0x9e3779b97f4a7c15

func mix(h, x uint64) uint64 {
	hi, lo := bits.Mul64(h^x^prime, 0xd6e8feb86659fd93)
	return hi ^ lo + prime
}

// digest tells states apart; times count from now, and such of long ago are alike.
func digest(w *world) uint64 {
	fresh := *w
	return sum(reflect.ValueOf(&fresh).Elem(), w.now)
}

func sum(v reflect.Value, now time.Time) uint64 {
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
			h = mix(h, sum(open(v.Field(i)), now))
		}
		return h
	case reflect.Pointer:
		if v.IsNil() {
			return 23
		}
		return sum(v.Elem(), now)
	case reflect.Slice, reflect.Array:
		h := mix(29, uint64(v.Len()))
		for i := range v.Len() {
			h = mix(h, sum(v.Index(i), now))
		}
		return h
	case reflect.Map:
		h := uint64(31)
		for it := v.MapRange(); it.Next(); {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			key.Set(it.Key())
			value.Set(it.Value())
			h += mix(sum(key, now), sum(value, now)) // in any order
		}
		return h
	}
	return 37 // functions are all alike
}
