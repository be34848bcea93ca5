package diskio

import "github.com/ansel1/merry/v2"

// ErrLocked is returned when another process uses the folder.
var ErrLocked = merry.Sentinel("another process uses the data folder")
