// Package quota decides whether a team may use more resources under the limit that operators have set for it. It is pure:
// the use of the team is handed in.
package quota
