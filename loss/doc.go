// Package loss computes how much work is thrown away when runs end, and why. It
// takes what is known of each ended run and returns core-seconds by cause; it
// holds no clock and does no input or output, so that the leader and a reader of
// its logs share it.
package loss
