/** The sub-commands of the stand-in program and what they share. */
package org.siskinramp.standin.command;
