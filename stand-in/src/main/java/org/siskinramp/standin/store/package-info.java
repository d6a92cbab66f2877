/** A stand-in for the store of the operators' platform: tables of rows, with a feed of changes. */
package org.siskinramp.standin.store;
