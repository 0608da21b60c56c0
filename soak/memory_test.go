package soak

import (
	"maps"
	"testing"

	"figbank"
)

func TestReadPeak(t *testing.T) {
	if got, err := readPeak("VmPeak:\t  99 kB\nVmHWM:\t   12 kB\n"); err != nil || got != 12*kilobyte {
		t.Errorf("readPeak() = %d, %v, want %d", got, err, 12*kilobyte)
	}
	if _, err := readPeak("VmPeak:\t  99 kB\n"); err == nil {
		t.Error("readPeak of a status without a peak = nil error, want an error")
	}
}

func TestReadUnread(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:4E20 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 111 1 0 100 0 0 10 0
   1: 0100007F:4E21 0100007F:1F90 01 00000010:00000FA0 00:00000000 00000000     0        0 222 1 0 20 4 30 10 -1
`
	want := map[string]figbank.Bytes{"socket:[222]": 4000}
	if got := readUnread(table); !maps.Equal(got, want) {
		t.Errorf("readUnread() = %v, want %v", got, want)
	}
}
