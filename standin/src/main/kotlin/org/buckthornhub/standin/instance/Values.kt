package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentMap

/** These values after [command]; a read changes nothing. */
internal fun PersistentMap<String, String>.after(command: Command): PersistentMap<String, String> = when (command) {
    is Command.Get -> this
    is Command.Put -> put(command.key, command.value)
    is Command.Insert -> put(command.key, command.value)
    is Command.Append -> put(command.key, listOfNotNull(this[command.key], command.value).joinToString(","))
}

/** The first key of [commands] that an insert finds taken when they run in order, or null. */
internal fun PersistentMap<String, String>.firstTakenKey(commands: List<Command>): String? {
    commands.fold(this) { values, command ->
        if (command is Command.Insert && command.key in values) return command.key
        values.after(command)
    }
    return null
}
