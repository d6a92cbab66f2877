/** One attempt to run a request on a backend server, and its outcome. */
package org.siskinramp.attempt;
