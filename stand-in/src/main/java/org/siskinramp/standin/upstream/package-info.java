/** Stands in for a backend server that speaks the operators' protocol. */
package org.siskinramp.standin.upstream;
