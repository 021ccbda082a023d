// Package share orders teams by their weights when there is too little room for all: by what they have used lately beyond
// their guarantees, and by how many jobs they submit. It orders and forbids nothing, so nothing is left idle for the sake
// of a weight. It is pure: time and use are handed in.
package share
