/** The backend servers that a host knows, and what it believes of each. */
package org.siskinramp.fleet;
