//go:build !race

package main

// raceDetector tells that the tests, and the marshals that they start, run with the race detector.
const raceDetector = false
