package org.siskinramp.daemon.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.siskinramp.daemon.settings.Settings;

/** Configures Log4j. */
public final class LogSetup {

    private static final String SIMPLE_LOGGER_PREFIX = "org.apache.logging.log4j.simplelog.";
    private static final String EVENTS_APPENDER = "events";
    private static final String LIBRARIES_APPENDER = "libraries";

    /**
     * Replaces quotes, backslashes and control characters with spaces, so that the message stays
     * one quoted value on one line.
     */
    private static final String LIBRARY_MESSAGE_PATTERN =
            "%replace{%m %ex{short.message}}{[\\p{Cntrl}\"\\\\]+}{ }";

    private LogSetup() {}

    /**
     * Configures Log4j to write events to standard output at the level of the settings, and
     * warnings of libraries as lines of the same form.
     *
     * @param host the name and the availability zone of this host
     * @param log the log settings
     */
    public static void apply(Settings.Host host, Settings.Log log) {
        ConfigurationBuilder<BuiltConfiguration> builder =
                ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setStatusLevel(Level.ERROR);
        builder.setConfigurationName("siskinramp");
        builder.setShutdownHook("disable");
        builder.add(console(builder, EVENTS_APPENDER, "%m%n%ex{0}"));
        builder.add(console(builder, LIBRARIES_APPENDER, libraryPattern(host)));
        builder.add(
                builder.newLogger(Log4jEventLog.LOGGER_NAME, Level.toLevel(log.level().name()))
                        .addAttribute("additivity", false)
                        .add(builder.newAppenderRef(EVENTS_APPENDER)));
        builder.add(
                builder.newRootLogger(Level.WARN).add(builder.newAppenderRef(LIBRARIES_APPENDER)));
        Configurator.reconfigure(builder.build());
    }

    /**
     * Configures Log4j's simple logger to write events and warnings of libraries to standard
     * output, as lines that start with the level. This must be called before the first logger is
     * created. The simple logger starts faster than the full logging system, which matters for a
     * host that runs only for a short time.
     *
     * @param log the log settings
     */
    public static void applySimple(Settings.Log log) {
        System.setProperty(
                "log4j2.loggerContextFactory",
                "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        System.setProperty(SIMPLE_LOGGER_PREFIX + "logFile", "System.out");
        System.setProperty(SIMPLE_LOGGER_PREFIX + "level", Level.WARN.name());
        System.setProperty(
                SIMPLE_LOGGER_PREFIX + Log4jEventLog.LOGGER_NAME + ".level",
                Level.toLevel(log.level().name()).name());
        System.setProperty(SIMPLE_LOGGER_PREFIX + "showlogname", "false");
        System.setProperty(SIMPLE_LOGGER_PREFIX + "showShortLogname", "false");
    }

    private static AppenderComponentBuilder console(
            ConfigurationBuilder<BuiltConfiguration> builder, String name, String pattern) {
        return builder.newAppender(name, "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .add(builder.newLayout("PatternLayout").addAttribute("pattern", pattern));
    }

    private static String libraryPattern(Settings.Host host) {
        return "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC} level=%p{lowerCase=true} host="
                + host.name()
                + " availability_zone="
                + host.availabilityZone()
                + " event=library logger=%c message=\""
                + LIBRARY_MESSAGE_PATTERN
                + "\"%n%ex{0}";
    }
}
