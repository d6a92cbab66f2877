/** A stand-in for a backend server, with a judge that sees what really ran. */
package org.siskinramp.standin.server;
