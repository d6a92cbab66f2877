/** The sub-commands of the stand-in program. */
package org.siskinramp.standin.command;
