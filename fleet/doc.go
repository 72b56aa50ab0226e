// Package fleet decides who is alive, who leads which shard, and how much
// service each customer has received over the whole fleet.
//
// There is no agreement between routers: each computes leadership from the
// members it hears, and sums of service merge in any order. What must be agreed
// goes through the platform's table service instead. The package does no I/O.
package fleet
