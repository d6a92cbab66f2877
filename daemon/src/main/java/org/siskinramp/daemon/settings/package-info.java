/**
 * The settings of an entry host, read from a TOML file. {@link
 * org.siskinramp.daemon.settings.SettingsFile} is the front door.
 */
package org.siskinramp.daemon.settings;
