/** Stands in for the operators' store: rows in tables, with a feed of what changed. */
package org.siskinramp.standin.store;
